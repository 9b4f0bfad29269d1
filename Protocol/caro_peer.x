/*
 * Messages between the VMs of a carobloft fleet, in the language of
 * RFC 4506.  "make protocol" regenerates the committed C files.
 *
 * Each heartbeat is sent in a datagram of its own.  All other messages of a
 * pair of VMs share one TCP connection, with record marking (RFC 5531).
 */

const CARO_NAME_MAX = 31;
const CARO_ADDRESS_MAX = 47;
const CARO_UPDATES_MAX = 12;
const CARO_ROLLOUTS_MAX = 4;
const CARO_MEMBERS_MAX = 4096;
const CARO_TOKEN_BYTES_MAX = 1048576;
const CARO_TOKENS_MAX = 65536;
const CARO_REQUEST_MAX = 1048576;
const CARO_ENTRIES_MAX = 4096;
const CARO_KEY_MAX = 191;
const CARO_CONFIG_MAX = 1048576;

enum caro_member_state {
    CARO_MEMBER_ALIVE = 0,
    CARO_MEMBER_SUSPECT = 1,
    CARO_MEMBER_LEAVING = 2,
    CARO_MEMBER_DEAD = 3
};

/* Membership state of one VM; a higher incarnation supersedes a lower one. */
struct caro_member_update {
    string name<CARO_NAME_MAX>;
    string http<CARO_ADDRESS_MAX>; /* Address for callers. */
    string peer<CARO_ADDRESS_MAX>; /* Address for other VMs. */
    string domain<CARO_NAME_MAX>;
    string region<CARO_NAME_MAX>;
    unsigned hyper incarnation;
    unsigned hyper boot_id; /* Random for each start of the process. */
    caro_member_state state;
};

/* Statistics of one VM about one rollout. */
struct caro_rollout_evidence {
    unsigned hyper rollout_id;
    bool is_bad; /* The canary test has rejected the new version. */
    int logs[4]; /* Logarithms of the test statistics, in thousandths. */
    unsigned int old_all; /* Samples of the old version. */
    unsigned int old_bad; /* Bad samples among them. */
};

/* A probe and its reply have the same format. */
struct caro_heartbeat {
    string sender<CARO_NAME_MAX>;
    unsigned hyper config_revision;
    hyper config_age; /* Microseconds since the revision was last confirmed
                         to be the newest; -1 when it never was. */
    caro_rollout_evidence evidence<CARO_ROLLOUTS_MAX>;
    caro_member_update updates<CARO_UPDATES_MAX>;
};

/* Asks the receiver to probe a third VM on behalf of the sender. */
struct caro_indirect_probe {
    string target<CARO_NAME_MAX>;
    caro_heartbeat heartbeat;
};

struct caro_members {
    caro_member_update members<CARO_MEMBERS_MAX>;
};

/* Part of a journal.  The first part sent to a backup holds the request. */
struct caro_journal_entry {
    unsigned hyper id; /* Id of the generation. */
    unsigned int epoch; /* Increases with each takeover of the generation. */
    unsigned int base; /* Index of the first token. */
    string upstream<CARO_NAME_MAX>;
    opaque request<CARO_REQUEST_MAX>;
    opaque bytes<CARO_TOKEN_BYTES_MAX>; /* Text of the tokens. */
    unsigned int ends<CARO_TOKENS_MAX>; /* End offset of each in "bytes". */
    bool finished; /* No tokens follow. */
};

struct caro_journal_batch {
    string sender<CARO_NAME_MAX>;
    caro_journal_entry entries<CARO_ENTRIES_MAX>;
};

struct caro_journal_ack {
    unsigned hyper id; /* Id of the generation. */
    unsigned int count; /* Tokens that the backup holds. */
    int status; /* 0 or an error code of caro_error.h. */
};

struct caro_journal_acks {
    caro_journal_ack acks<CARO_ENTRIES_MAX>;
};

/* Requests the journal of a generation, which the sender takes over. */
struct caro_takeover_args {
    unsigned hyper id;
};

struct caro_takeover_reply {
    int status; /* 0 or an error code of caro_error.h. */
    unsigned int epoch;
    string upstream<CARO_NAME_MAX>;
    bool finished;
    opaque request<CARO_REQUEST_MAX>;
    opaque bytes<CARO_TOKEN_BYTES_MAX>;
    unsigned int ends<CARO_TOKENS_MAX>;
};

enum caro_order_state {
    CARO_ORDER_INTENT = 0,
    CARO_ORDER_DONE = 1,
    CARO_ORDER_FENCED = 2,
    CARO_ORDER_UNKNOWN = 3
};

/* Requests the backup to record that the order is about to be dispatched. */
struct caro_order_intent {
    string key<CARO_KEY_MAX>;
    unsigned hyper digest; /* Hash of account, path and body. */
    unsigned hyper backup_boot_id;
};

/* State of an order, with the response of the order service. */
struct caro_order_outcome {
    string key<CARO_KEY_MAX>;
    unsigned hyper digest;
    caro_order_state state;
    unsigned int status;
    opaque body<CARO_REQUEST_MAX>;
};

/* Forwards an order to the VM that its ticket names. */
struct caro_order_forward {
    string key<CARO_KEY_MAX>;
    string path<255>;
    string account<CARO_NAME_MAX>;
    opaque body<CARO_REQUEST_MAX>;
};

/* Asks the backup for the state of an order; it fences an unknown one. */
struct caro_order_decide {
    string key<CARO_KEY_MAX>;
    unsigned hyper digest;
    unsigned hyper backup_boot_id;
};

struct caro_config {
    unsigned hyper revision;
    opaque text<CARO_CONFIG_MAX>;
};

/* A frame of an incompressible configuration is little longer than it. */
const CARO_CONFIG_FRAME_MAX = 1056768;

/* Asks for the receiver's configuration.  Older versions ignore the
   procedure. */
struct caro_config_args {
    string sender<CARO_NAME_MAX>;
    unsigned hyper revision; /* That which the sender has; 0 for none. */
};

/* A configuration as a zstd frame. */
struct caro_packed_config {
    unsigned hyper revision;
    unsigned hyper base; /* Revision of the text that is the frame's prefix; 0
                            for none. */
    unsigned int size; /* Bytes of the text. */
    opaque frame<CARO_CONFIG_FRAME_MAX>; /* Empty if the VM has none. */
};

/* Asks the keeper of a service for a permit, or returns one.  Older versions
   ignore the procedure. */
struct caro_permit_args {
    string sender<CARO_NAME_MAX>;
    unsigned hyper id; /* Of the permit; the same when the call is repeated. */
    unsigned int service; /* Hash of the service's name. */
    unsigned int rejections_max; /* That its upstreams bear a second. */
    unsigned int said_age_ms; /* Since an upstream said so. */
    unsigned int wait_ms; /* For which the sender waits. */
    unsigned int ttl_ms; /* The permit counts as returned after this. */
    bool is_return;
    bool was_rejected; /* The upstream rejected the request. */
};

struct caro_permit {
    bool is_granted;
    unsigned int upstream; /* Hash of its start. */
    unsigned int retry_after_ms; /* If it is not granted. */
};

const CARO_BRITTLE_MAX = 8;
struct caro_brittle_service {
    unsigned int service; /* Hash of the service's name. */
    unsigned int rejections_max;
    unsigned int age_ms; /* Since an upstream said so. */
};

/* The services that the sender keeps permits of.  Older versions ignore the
   procedure. */
struct caro_brittle_notice {
    string sender<CARO_NAME_MAX>;
    caro_brittle_service services<CARO_BRITTLE_MAX>;
};

/* The first record on a tunnel, with its size in four bytes before it.  The
   boot ids are known to the members alone. */
struct caro_tunnel_hello {
    string sender<CARO_NAME_MAX>;
    unsigned hyper sender_boot_id;
    unsigned hyper gate_boot_id;
    unsigned int upstream; /* Hash of the start of the upstream. */
    string address<CARO_ADDRESS_MAX>; /* Of the upstream. */
};

/* Behind the hello, if the VM names its tunnels in leases, stands an unsigned
   int: the number of the tunnel, not 0. */

const CARO_STORE_NOTICES_MAX = 256;

/* A VM read in the store that an upstream leaves, or is no longer registered. */
struct caro_store_notice {
    unsigned int start; /* Hash of the start of the upstream. */
    bool is_gone;
    unsigned int age_ms;
};

struct caro_store_notices {
    string sender<CARO_NAME_MAX>;
    caro_store_notice notices<CARO_STORE_NOTICES_MAX>;
};

const CARO_TUNNELS_MAX = 1024;

/* The tunnels of the sender through the gate that are still in use.  The gate
   ends others, and all of them when it hears none for some time. */
struct caro_tunnel_lease {
    string sender<CARO_NAME_MAX>;
    unsigned hyper sender_boot_id;
    bool is_partial; /* There are more than are listed. */
    unsigned int tunnels<CARO_TUNNELS_MAX>;
};

/* The first byte that the gate sends.  After CARO_TUNNEL_OPEN come frames:
   two bytes with a size, and so many bytes of the upstream.  A size of 0 tells
   that the upstream closed the connection, one of 65535 that it broke. */
enum caro_tunnel_status {
    CARO_TUNNEL_OPEN = 1,
    CARO_TUNNEL_REFUSED = 2,   /* The upstream refused the connection. */
    CARO_TUNNEL_TIMED_OUT = 3, /* It did not accept it in time. */
    CARO_TUNNEL_UNABLE = 4     /* The gate does not take this tunnel. */
};

const CARO_TUNNEL_HELLO_MAX = 256;
const CARO_TUNNEL_FRAME_MAX = 16384;
const CARO_TUNNEL_BROKEN = 65535;

const CARO_WHY_MAX = 8;

struct caro_why_args {
    string subject<CARO_NAME_MAX>;
};

/* A decision of a controller; see caro_decisions.h. */
struct caro_decision {
    hyper wall_ms;
    string part<15>;
    string subject<39>;
    string action<39>;
    string cause<95>;
};

struct caro_why_reply {
    string vm<CARO_NAME_MAX>;
    caro_decision decisions<CARO_WHY_MAX>;
};

const CARO_LOADS_MAX = 64;

/* A recent failure of a target. */
enum caro_target_failure {
    CARO_FAILURE_NONE = 0,
    CARO_FAILURE_FAILING = 1, /* A stream failed. */
    CARO_FAILURE_SILENT = 2,  /* A stream became silent. */
    CARO_FAILURE_GONE = 3,    /* Its address is unused or reassigned. */
    CARO_FAILURE_LEAVING = 4  /* None: it announced that it leaves. */
};

/* Load of the sender at one target; or, with CARO_FAILURE_LEAVING and no other
   field, that the sender has read the announcement of one start of a target.
   Older versions know no target by such a hash and ignore the latter. */
struct caro_target_load {
    unsigned int target; /* Hash of the target's id, or of its start. */
    unsigned int streams; /* In flight, including those awaiting prefill. */
    unsigned int prefill_tokens; /* Prompt tokens of those without an event. */
    unsigned int kv_copies; /* KV copies kept for the sender's streams. */
    unsigned int idle_ms; /* Time since its last response or event. */
    caro_target_failure failure;
};

/* The whole load of the sender; replaces its previous report. */
struct caro_load_report {
    string sender<CARO_NAME_MAX>;
    unsigned hyper boot_id;
    unsigned int sequence; /* Increases with each report of a process start. */
    caro_target_load loads<CARO_LOADS_MAX>;
    caro_rollout_evidence evidence<CARO_ROLLOUTS_MAX>;
};

const CARO_PARTS_MAX = 12;
const CARO_CRASHES_MAX = 16;
const CARO_BEGINS_MAX = 32;
const CARO_QUARANTINES_MAX = 16;

/* An upstream closed the connection of a request between the head of its
   response and the first event, and was not heard again. */
struct caro_prompt_crash {
    unsigned hyper upstream; /* Hash of the start of the upstream. */
    unsigned hyper request; /* Hash of the request's id. */
    unsigned int age_ms;
    unsigned hyper parts<CARO_PARTS_MAX>; /* Hashes of the prompt's parts. */
};

/* The last first event of a response to a prompt with the part. */
struct caro_prompt_begin {
    unsigned hyper part;
    unsigned int age_ms;
};

/* Requests with all of the parts are refused. */
struct caro_quarantine {
    unsigned hyper parts<CARO_PARTS_MAX>;
    unsigned int age_ms;
    unsigned int left_ms;
};

/* What the sender knows of parts of prompts that crash upstreams, from its own
   requests and from other VMs.  Older versions ignore the procedure. */
struct caro_prompt_report {
    string sender<CARO_NAME_MAX>;
    caro_prompt_crash crashes<CARO_CRASHES_MAX>;
    caro_prompt_begin begins<CARO_BEGINS_MAX>;
    caro_quarantine quarantines<CARO_QUARANTINES_MAX>;
};

const CARO_PROMPT_LOSS_PARTS_MAX = 32;
const CARO_PROMPT_LOSSES_MAX = 64;
const CARO_PARTS_PROGRESS_MAX = 96;
const CARO_PROMPT_QUARANTINES_MAX = 32;

/* A request was in progress at an upstream that crashed. */
struct caro_prompt_loss {
    unsigned hyper upstream; /* Hash of the start of the upstream. */
    unsigned hyper request; /* Hash of the request's id. */
    unsigned int service; /* Hash. */
    unsigned int domain; /* Hash of the upstream's failure domain. */
    bool is_domain_lost; /* Most of its upstreams failed with it. */
    bool has_head; /* The head of the response had arrived. */
    unsigned int events; /* Of the response, before the crash. */
    unsigned int age_ms;
    /* The parts of its prompt that may have caused the crash; none if none
       may. */
    unsigned hyper parts<CARO_PROMPT_LOSS_PARTS_MAX>;
};

/* How far a response to a prompt with the part has got. */
struct caro_part_progress {
    unsigned hyper part;
    bool is_finished;
    unsigned int finished_age_ms; /* If is_finished: since it last did. */
    unsigned int events; /* Most events of a response; 0 for none. */
    unsigned int events_age_ms;
};

/* Requests with all of the parts are refused. */
struct caro_prompt_quarantine {
    unsigned hyper parts<CARO_PROMPT_LOSS_PARTS_MAX>;
    unsigned int age_ms; /* Since the decision or the last failed probe. */
    unsigned int probes; /* Failed probes. */
    unsigned int events; /* Most events of a response before a crash. */
};

/* The evidence of the sender on prompts that crash upstreams, its own and that
   of other VMs.  It takes the place of caro_prompt_report, which is still sent
   and read for VMs of versions that do not know it. */
struct caro_prompt_evidence {
    string sender<CARO_NAME_MAX>;
    caro_prompt_loss losses<CARO_PROMPT_LOSSES_MAX>;
    caro_part_progress progress<CARO_PARTS_PROGRESS_MAX>;
    caro_prompt_quarantine quarantines<CARO_PROMPT_QUARANTINES_MAX>;
};

/* A VM that did not run for some time asks for the evidence of another. */
struct caro_prompt_query {
    string sender<CARO_NAME_MAX>;
};

const CARO_LIMITS_MAX = 64;
const CARO_DEMANDS_MAX = 16;

/* A limit that a target put on its requests, and the sender's use of it. */
struct caro_target_limit {
    unsigned int target; /* Hash of the target's id. */
    unsigned int sent; /* Requests of the sender in the last seconds. */
    bool has_news; /* The sender has the fields below from a response. */
    bool is_limited; /* The target names a limit. */
    unsigned int requests_per_1000_s;
    unsigned int age_ms; /* Time since that response. */
};

/* Requests of the sender's callers for a service with limited targets. */
struct caro_service_demand {
    unsigned int service; /* Hash of the service's name. */
    unsigned int requests_per_1000_s;
};

/* The sender's use of limited targets; replaces its previous report.  Older
   versions ignore the procedure. */
struct caro_limit_report {
    string sender<CARO_NAME_MAX>;
    unsigned hyper boot_id;
    unsigned int sequence; /* Increases with each report of a process start. */
    caro_target_limit limits<CARO_LIMITS_MAX>;
    caro_service_demand demands<CARO_DEMANDS_MAX>;
};

const CARO_STORE_KEY_MAX = 200;
const CARO_CHANGE_VALUE_MAX = 6144;
const CARO_CHANGES_MAX = 128;

/* A change of one key of the store. */
struct caro_store_change {
    string key<CARO_STORE_KEY_MAX>;
    unsigned hyper revision;
    bool is_deleted;
    bool is_omitted; /* The value is too large for a datagram. */
    opaque value<CARO_CHANGE_VALUE_MAX>;
};

/* Asks a reader of the store for the changes after a revision.  Older versions
   ignore the procedure. */
struct caro_store_changes_args {
    string sender<CARO_NAME_MAX>;
    unsigned hyper revision;
};

/* Ages are in microseconds, from the sending of the reader's own call to the
   store, on a clock that includes time in suspend; -1 for never. */
struct caro_store_changes {
    unsigned hyper revision; /* All changes up to it are in the reply. */
    bool reaches_back; /* False: the log begins later; no changes follow. */
    bool has_more; /* There are changes after "revision". */
    unsigned hyper config_revision;
    hyper config_age; /* Since config_revision was read as the newest. */
    hyper answer_age; /* Since the last successful read of the store. */
    hyper log_age; /* Since the log was known to have all changes. */
    caro_store_change changes<CARO_CHANGES_MAX>; /* In the store's order. */
};

/* Asks the receiver to lend retries to a service.  Older versions ignore the
   procedure. */
struct caro_retry_loan {
    string sender<CARO_NAME_MAX>;
    unsigned int service; /* Hash of the service's name. */
    unsigned int retries;
};

/* The receiver counts them as its own retries, also if the reply is lost. */
struct caro_retry_grant {
    unsigned int retries;
};

const CARO_PACE_SAMPLES_MAX = 24;
/* What the sender measured at one start of a target; a field of 0 was not
   measured. */
struct caro_pace_sample {
    unsigned int target; /* Hash of the start of the target. */
    unsigned int prefill_ns; /* Prefill time per prompt token. */
    unsigned int event_us; /* Mean time between events of a stream. */
    unsigned int memory_tokens; /* Held when it rejected a prompt although
                                   slots were free. */
    unsigned int age_ms;
};

/* The sender's latest samples.  Each is in several reports, as datagrams may
   be lost.  Older versions ignore the procedure. */
struct caro_pace_report {
    string sender<CARO_NAME_MAX>;
    unsigned hyper boot_id;
    unsigned int first; /* Number of the first sample; others follow it. */
    caro_pace_sample samples<CARO_PACE_SAMPLES_MAX>;
};

const CARO_ROOM_SERVICES_MAX = 4;
const CARO_ROOM_PRIORITIES = 4;
const CARO_ROOM_RANKS = 8;
const CARO_ROOM_SERVERS_MAX = 8;
const CARO_ROOM_ACCOUNTS_MAX = 12;
/* The queue of one server, as its last response to the sender told. */
struct caro_room_server {
    unsigned int target; /* Hash of the target's id. */
    unsigned int wait_us; /* Expected wait of the next request there. */
    unsigned int age_ms; /* Time since that response. */
};

/* Requests of the callers of a client account for the service. */
struct caro_room_account {
    unsigned int account; /* Hash of the account's name; 0 for none. */
    unsigned int rank; /* As in caro_service_room. */
    unsigned int requests_per_1000_s;
};

/* What the sender knows of one service whose servers are short of room. */
struct caro_service_room {
    unsigned int service; /* Hash of the service's name. */
    /* Requests of the sender's callers, by rank: twice the priority, and one
       more where the caller has waited longer than the objective before.  The
       last priority includes all that are less urgent. */
    unsigned int requests_per_1000_s[CARO_ROOM_RANKS];
    unsigned int answers_per_1000_s;
    unsigned int rejections_per_1000_s; /* By servers, for lack of room. */
    caro_room_server servers<CARO_ROOM_SERVERS_MAX>;
    caro_room_account accounts<CARO_ROOM_ACCOUNTS_MAX>;
};

/* Replaces the sender's previous report.  Older versions ignore the
   procedure. */
struct caro_room_report {
    string sender<CARO_NAME_MAX>;
    unsigned hyper boot_id;
    unsigned int sequence; /* Increases with each report of a process start. */
    caro_service_room services<CARO_ROOM_SERVICES_MAX>;
};

const CARO_RETAINED_PARTS_MAX = 48;

/* A part of a prompt that a start of a target probably holds. */
struct caro_retained_part {
    unsigned int target; /* Hash of the start of the target. */
    unsigned int part; /* Hash of the part's id. */
    unsigned int tokens;
    unsigned int age_ms; /* Since a prompt with the part began there. */
};

/* Parts of the sender's prompts that were seen twice or are large.  Each pair
   is in several reports, as datagrams may be lost.  Older versions ignore the
   procedure. */
struct caro_retention_report {
    string sender<CARO_NAME_MAX>;
    caro_retained_part parts<CARO_RETAINED_PARTS_MAX>;
};

program CARO_PEER {
    version CARO_PEER_V1 {
        caro_heartbeat CARO_HEARTBEAT(caro_heartbeat) = 1;
        caro_heartbeat CARO_INDIRECT_PROBE(caro_indirect_probe) = 2;
        caro_members CARO_MEMBERS(caro_heartbeat) = 3;
        caro_journal_acks CARO_JOURNAL(caro_journal_batch) = 4;
        caro_takeover_reply CARO_TAKEOVER(caro_takeover_args) = 5;
        caro_order_outcome CARO_INTENT(caro_order_intent) = 6;
        caro_order_outcome CARO_OUTCOME(caro_order_outcome) = 7;
        caro_order_outcome CARO_FORWARD(caro_order_forward) = 8;
        caro_order_outcome CARO_DECIDE(caro_order_decide) = 9;
        caro_config CARO_CONFIG(caro_heartbeat) = 10;
        caro_heartbeat CARO_DRAIN(caro_heartbeat) = 11;
        caro_why_reply CARO_WHY(caro_why_args) = 12;
        caro_load_report CARO_LOAD_REPORT(caro_load_report) = 13;
        caro_prompt_report CARO_PROMPT_REPORT(caro_prompt_report) = 14;
        caro_limit_report CARO_LIMIT_REPORT(caro_limit_report) = 15;
        caro_retry_grant CARO_RETRY_LOAN(caro_retry_loan) = 16;
        caro_store_changes CARO_STORE_CHANGES(caro_store_changes_args) = 17;
        caro_pace_report CARO_PACE_REPORT(caro_pace_report) = 18;
        caro_room_report CARO_ROOM_REPORT(caro_room_report) = 19;
        caro_retention_report
            CARO_PROMPT_RETENTION(caro_retention_report) = 20;
        caro_packed_config CARO_PACKED_CONFIG(caro_config_args) = 21;
        caro_permit CARO_SLOT_PERMIT(caro_permit_args) = 22;
        caro_brittle_notice CARO_BRITTLE_NOTICE(caro_brittle_notice) = 23;
        caro_prompt_evidence
            CARO_PROMPT_EVIDENCE(caro_prompt_evidence) = 24;
        caro_prompt_evidence CARO_PROMPT_QUERY(caro_prompt_query) = 25;
        caro_tunnel_lease CARO_TUNNEL_LEASE(caro_tunnel_lease) = 26;
        caro_store_notices CARO_STORE_NOTICES(caro_store_notices) = 27;
    } = 1;
} = 0x20079410;
