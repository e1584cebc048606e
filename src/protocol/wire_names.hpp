/// \file
/// Field names that several messages or stored records share.
///
/// The name of a field that only one message has is defined in that message's codec. Names that are
/// the same on the wire and in the code (`id`, `gpus`) are listed here if several codecs use them.
#pragma once

namespace poppystile::protocol::wire {

// Jobs and tasks.
inline constexpr const char* job_id = "id";
inline constexpr const char* job_kind = "shape";
inline constexpr const char* tasks = "pieces";
inline constexpr const char* task = "piece";
inline constexpr const char* attempt = "try";
inline constexpr const char* state = "stage";

// Resources.
inline constexpr const char* cpus = "cores";
inline constexpr const char* gpus = "gpus";
inline constexpr const char* memory_gb = "ram_gb";

// Machines.
inline constexpr const char* machine = "stile";
inline constexpr const char* machines = "stiles";
inline constexpr const char* machine_type = "build";
inline constexpr const char* machine_types = "builds";
inline constexpr const char* zone = "yard";
inline constexpr const char* zones = "yards";
inline constexpr const char* spot = "loaners";

// Controllers.
inline constexpr const char* fencing_token = "baton";

// The state service.
inline constexpr const char* key = "key";
inline constexpr const char* value = "data";
inline constexpr const char* version = "stamp";
inline constexpr const char* revision = "epoch";
inline constexpr const char* lease = "pass";
inline constexpr const char* write = "write";
inline constexpr const char* remove = "remove";

// Lists in pages.
inline constexpr const char* more = "more";

}  // namespace poppystile::protocol::wire
