/*
 * Tests of the copy of the store: which upstreams are kept when their
 * registrations disappear, with a stand-in of the store over loopback; and of
 * the changes that other VMs pass on, with a table of replies.
 */
#include "test.h"

#include "registry_fixture.h"

/* Issue 22: requests went to upstreams that had left, as the reads of a large
   configuration timed out on a slow link. */
static void
test_deleted_upstream_is_removed_while_reads_time_out(void **state)
{
    Fixture *f = *state;
    assert_true(is_kept(f));
    f->state = STORE_HOLDS_READS;
    for (int i = 0; i < 10; i++) {
        change_other_key(f);
        run_for(f, 450 * MS);
    }
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

static void
test_upstream_is_kept_when_its_lease_expires_in_an_outage(void **state)
{
    Fixture *f = *state;
    f->state = STORE_HOLDS_ALL;
    run_for(f, 4000 * MS);
    assert_true(is_kept(f));
    f->state = STORE_SERVES;
    delete_target(f);
    run_for(f, 1500 * MS);
    assert_true(is_kept(f));
    register_target(f);
    run_for(f, 2500 * MS);
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

static void
test_responses_to_other_vms_show_that_a_registration_was_deleted(void **state)
{
    Fixture *f = *state;
    f->state = STORE_HOLDS_ALL;
    for (int i = 0; i < 8; i++) {
        run_for(f, 500 * MS);
        CaroTime now = CaroClock_Now();
        CaroRegistry_RecordPeerResponse(f->registry, now - 1000 * MS, now);
    }
    f->state = STORE_SERVES;
    delete_target(f);
    run_for(f, 1000 * MS);
    assert_false(is_kept(f));
}

/* The platform counts a VM as in touch 3 s after the store's last fault, and
   requests to a leaving upstream from 2 s after it left. */
static void
test_deletion_is_noticed_in_time_behind_a_lost_watch(void **state)
{
    Fixture *f = *state;
    f->state = STORE_LOSES_WATCH;
    change_other_key(f);
    while (!f->has_lost_watch) {
        run_for(f, 10 * MS);
    }
    run_for(f, 3000 * MS);
    delete_target(f);
    run_for(f, 1900 * MS);
    assert_false(is_kept(f));
}

/* Sends events to the watch, and waits until they were applied. */
static void
change_items(Fixture *f, const char *events)
{
    (void)snprintf(f->change, sizeof(f->change), "%s", events);
    f->revision++;
    answer_watch(f);
    run_for(f, 600 * MS);
}

/* An odd change does not keep the others of its response from being read, nor
   the watch from going on. */
static void
test_odd_changes_do_not_stop_the_watch(void **state)
{
    Fixture *f = *state;
    static const char *const odd[] = {
        "{\"key\":\"servers/o\",\"value\":17,\"revision\":11}",
        "{\"value\":\"aGk=\",\"revision\":11}",
        "{\"key\":\"servers/o\\u0000\",\"value\":\"\",\"revision\":11}",
        "{\"key\":\"servers/o\",\"value\":\"W1tbW1s=\",\"revision\":11}",
        "{\"key\":\"servers/\",\"value\":\"e30=\",\"revision\":11}"};
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        char item[VALUE_MAX * 2];
        char id[8];
        char events[VALUE_MAX * 4];
        (void)snprintf(id, sizeof(id), "n-%zu", i);
        write_target(item, sizeof(item), id, f->revision + 1);
        (void)snprintf(events, sizeof(events), "%s,%s", odd[i], item);
        change_items(f, events);
        assert_int_not_equal(CaroTargets_Find(f->targets, id), CARO_NO_HANDLE);
        assert_true(is_kept(f));
    }
    assert_int_equal(f->n_lists, 1);
}

static void
test_list_with_odd_entries_is_read(void **state)
{
    Fixture *f = *state;
    f->odd_items = ",{\"key\":\"servers/o\",\"value\":17,\"revision\":3},7,"
                   "{\"key\":\"servers/p\\u0000\",\"value\":\"\"}";
    f->has_no_history = true;
    change_other_key(f);
    run_for(f, 4500 * MS);
    assert_true(f->n_lists >= 2);
    assert_true(is_kept(f));
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
}

/* Another writer's entry stands in the place of an upstream's. */
static void
test_entry_that_became_odd_names_no_upstream(void **state)
{
    Fixture *f = *state;
    char item[VALUE_MAX * 2];
    assert_true(is_kept(f));
    change_items(f, "{\"key\":\"servers/i-1\",\"value\":\"W10=\","
                    "\"revision\":11}");
    assert_false(is_kept(f));
    write_target(item, sizeof(item), "i-1", 12);
    change_items(f, item);
    assert_true(is_kept(f));
    change_items(f, "{\"key\":\"servers/i-1\",\"value\":17,"
                    "\"revision\":13}");
    assert_false(is_kept(f));
}

/* A response without the list that was asked for tells nothing; it is not an
   empty list, by which all upstreams would be gone. */
static void
test_response_without_list_removes_no_upstream(void **state)
{
    Fixture *f = *state;
    static const char *const lists[] = {"{\"has_more\":false,\"at\":20}",
                                        "{\"entries\":null,\"at\":20}",
                                        "{\"entries\":{},\"at\":20}", "{}"};
    for (size_t i = 0; i < sizeof(lists) / sizeof(lists[0]); i++) {
        int n = f->n_lists;
        f->list = lists[i];
        f->has_no_history = true;
        change_other_key(f);
        for (int step = 0; step < 40 && f->n_lists < n + 2; step++) {
            run_for(f, 50 * MS);
        }
        assert_true(is_kept(f));
        assert_true(f->n_lists >= n + 2);
        f->list = NULL;
        run_for(f, 1500 * MS);
        assert_true(is_kept(f));
    }
    f->list = "{\"entries\":[],\"at\":20}";
    f->has_no_history = true;
    change_other_key(f);
    run_for(f, 1500 * MS);
    assert_false(is_kept(f));
}

/* The changes up to the revision of such a response would be missed. */
static void
test_watch_without_list_is_repeated(void **state)
{
    Fixture *f = *state;
    f->watched = "{\"at\":90}";
    change_other_key(f);
    run_for(f, 1000 * MS);
    assert_null(f->watched);
    assert_non_null(strstr(f->watch_uri, "after="));
    assert_null(strstr(f->watch_uri, "after=90"));
}

static void
test_lease_that_was_not_granted_is_not_asked_for_at_once(void **state)
{
    Fixture *f = *state;
    CaroRegistry_SetSelf(f->registry, "vm", "127.0.0.1:1");
    run_for(f, 1500 * MS);
    assert_in_range(f->n_leases, 1, 2);
}

/* --- changes from a reader of the store --- */

/* The largest reply of these tests has so many changes. */
enum { REPLY_CHANGES = 3 };

/* A reply of the reader's test double. */
typedef struct {
    uint64_t revision;
    int n;
    caro_store_change changes[REPLY_CHANGES];
    bool has_gap;
    CaroTime answer_age;
    CaroTime log_age;
    uint64_t config_revision;
} Reply;

#define DELETED(at)                                                           \
    {                                                                         \
        .key = "servers/i-1", .revision = (at), .is_deleted = true            \
    }
#define OMITTED(name, at)                                                     \
    {                                                                         \
        .key = (name), .revision = (at), .is_omitted = true                   \
    }

static void
set_role(Fixture *f, bool is_reader)
{
    CaroStoreReadersView view = {.is_ready = true,
                                 .n_vms = 100,
                                 .readers = {3, 5},
                                 .is_reader = is_reader};
    CaroRegistry_RecordPeerConfig(f->registry, 1);
    CaroRegistry_SetView(f->registry, &view);
    run_for(f, 50 * MS);
}

static int
apply(Fixture *f, CaroHandle reader, int64_t asked, const Reply *reply)
{
    caro_store_changes out = {.revision = reply->revision,
                              .reaches_back = !reply->has_gap,
                              .config_revision = reply->config_revision,
                              .config_age = reply->answer_age,
                              .answer_age = reply->answer_age,
                              .log_age = reply->log_age};
    out.changes.changes_val = (caro_store_change *)reply->changes;
    out.changes.changes_len = (u_int)reply->n;
    return CaroRegistry_ApplyChanges(f->registry, reader, asked,
                                     CaroClock_BootTime(), &out);
}

/* Waits for the next call to a reader, and answers it. */
static int
answer(Fixture *f, const Reply *reply)
{
    CaroHandle reader = CARO_NO_HANDLE;
    for (int i = 0; i < 30 && reader == CARO_NO_HANDLE; i++) {
        run_for(f, 20 * MS);
        reader = CaroRegistry_NextReader(f->registry);
    }
    assert_true(reader == 3 || reader == 5);
    return apply(f, reader, CaroRegistry_Revision(f->registry), reply);
}

static void
follow(Fixture *f)
{
    const Reply reply = {.revision = FIRST_REVISION};
    set_role(f, false);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FALLBACK);
    assert_int_equal(answer(f, &reply), 0);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FOLLOWER);
}

/* Guards against followers that call the store, and against changes that are
   not applied, or applied again when an older reply arrives late. */
static void
test_follower_applies_changes_and_makes_no_calls(void **state)
{
    Fixture *f = *state;
    const Reply nothing = {.revision = FIRST_REVISION};
    const Reply deletion = {.revision = 12, .n = 1, .changes = {DELETED(12)}};
    follow(f);
    run_for(f, 50 * MS);
    uint64_t calls = CaroStoreClient_CountCalls(f->client);
    for (int i = 0; i < 6; i++) {
        assert_int_equal(answer(f, &nothing), 0);
    }
    assert_true(is_kept(f));
    assert_int_equal(answer(f, &deletion), 0);
    assert_false(is_kept(f));
    assert_int_equal(CaroRegistry_Revision(f->registry), 12);
    char text[] = "{\"service\":\"pool\",\"address\":\"10.0.0.1:80\","
                  "\"zone\":\"z\",\"version\":\"v1\",\"slots\":6,"
                  "\"state\":\"ready\",\"born\":17}";
    Reply late = {.revision = 11,
                  .n = 1,
                  .changes = {{.key = "servers/i-1", .revision = 11}}};
    late.changes[0].value.value_val = text;
    late.changes[0].value.value_len = sizeof(text) - 1;
    assert_int_equal(apply(f, 3, FIRST_REVISION, &late), 0);
    assert_false(is_kept(f));
    assert_int_equal(CaroRegistry_Revision(f->registry), 12);
    late.revision = late.changes[0].revision = 13;
    assert_int_equal(answer(f, &late), 0);
    assert_true(is_kept(f));
    assert_int_equal(CaroStoreClient_CountCalls(f->client), calls);
    /* The watch that was open when it began to follow ends, and its changes
       are older. */
    delete_target(f);
    run_for(f, 50 * MS);
    assert_true(is_kept(f));
}

/* Guards against a reader that makes a VM lose or invent changes. */
static void
test_invalid_replies_are_dropped(void **state)
{
    Fixture *f = *state;
    static const Reply invalid[] = {
        {.revision = FIRST_REVISION - 1},
        {.revision = UINT64_MAX},
        {.revision = 12, .n = 2, .changes = {DELETED(12), DELETED(11)}},
        {.revision = 12, .n = 1, .changes = {DELETED(13)}},
        {.revision = 12, .n = 1, .changes = {DELETED(FIRST_REVISION)}},
        {.revision = 12, .n = 1, .changes = {DELETED(12)}, .has_gap = true},
        {.revision = 12, .answer_age = -2},
        {.revision = 12, .log_age = INT64_MIN}};
    const Reply valid = {.revision = FIRST_REVISION};
    follow(f);
    for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
        assert_int_equal(answer(f, &invalid[i]), CARO_ERR_INPUT);
        assert_true(is_kept(f));
        assert_int_equal(CaroRegistry_Revision(f->registry), FIRST_REVISION);
        assert_int_equal(answer(f, &valid), 0);
    }
    assert_int_equal(f->counters.values[CARO_COUNT_STORE_READER_FAILURES],
                     sizeof(invalid) / sizeof(invalid[0]));
    /* Two in a row and one of the other reader. */
    for (int i = 0; i < 3; i++) {
        assert_int_equal(answer(f, &invalid[0]), CARO_ERR_INPUT);
    }
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FALLBACK);
    f->watch_uri[0] = '\0';
    run_for(f, 100 * MS);
    assert_non_null(strstr(f->watch_uri, "after=10"));
    delete_target(f);
    run_for(f, 100 * MS);
    assert_false(is_kept(f));
}

/* Guards against changes that are lost where the reader's log begins later, or
   whose values do not fit in a datagram. */
static void
test_follower_lists_the_store_after_a_gap(void **state)
{
    Fixture *f = *state;
    static const Reply gaps[] = {
        {.revision = 40, .has_gap = true},
        {.revision = 40, .n = 1, .changes = {OMITTED("servers/i-2", 40)}}};
    /* While it reads the store itself, its watch returns the value. */
    set_role(f, false);
    assert_int_equal(answer(f, &gaps[1]), 0);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FALLBACK);
    assert_int_equal(CaroRegistry_Revision(f->registry), FIRST_REVISION);
    run_for(f, 5000 * MS);
    follow(f);
    for (int i = 0; i < 2; i++) {
        int n = f->n_lists;
        f->list = i == 0 ? NULL : "{\"entries\":[],\"at\":50}";
        assert_int_equal(answer(f, &gaps[i]), 0);
        run_for(f, 600 * MS);
        assert_int_equal(f->n_lists, n + 1);
        assert_int_equal(f->counters.values[CARO_COUNT_STORE_GAPS], i + 1);
        assert_int_equal(is_kept(f), i == 0);
        assert_int_equal(CaroRegistry_Revision(f->registry),
                         i == 0 ? FIRST_REVISION : 50);
    }
}

/* Guards against a list of a replica that is behind, which would bring back
   what was deleted. */
static void
test_older_list_is_not_applied(void **state)
{
    Fixture *f = *state;
    const Reply deletion = {.revision = 12, .n = 1, .changes = {DELETED(12)}};
    const Reply gap = {.revision = 40, .has_gap = true};
    follow(f);
    assert_int_equal(answer(f, &deletion), 0);
    assert_int_equal(answer(f, &gap), 0);
    run_for(f, 600 * MS);
    assert_true(f->n_lists >= 2);
    assert_false(is_kept(f));
    assert_int_equal(CaroRegistry_Revision(f->registry), 12);
    f->list = "{\"entries\":[],\"at\":41}";
    run_for(f, 1000 * MS);
    assert_int_equal(CaroRegistry_Revision(f->registry), 41);
}

/* Guards against a configuration that stays unknown when the call to the peer
   that has it fails. */
static void
test_configuration_that_does_not_arrive_is_read(void **state)
{
    Fixture *f = *state;
    static const Reply newer[] = {
        {.revision = FIRST_REVISION, .config_revision = 7},
        {.revision = 12, .n = 1, .changes = {OMITTED("op/config", 12)}}};
    follow(f);
    run_for(f, 50 * MS);
    for (int i = 0; i < 2; i++) {
        int n = f->n_config_reads;
        f->config = i == 0 ? "{\"key\":\"op/config\",\"value\":\"\","
                             "\"revision\":7,\"at\":10}"
                           : "{\"key\":\"op/config\",\"value\":\"\","
                             "\"revision\":12,\"at\":12}";
        assert_int_equal(answer(f, &newer[i]), 1);
        run_for(f, 300 * MS);
        assert_int_equal(f->n_config_reads, n);
        run_for(f, 350 * MS);
        assert_int_equal(f->n_config_reads, n + 1);
        const Reply known = {.revision = newer[i].revision,
                             .config_revision = newer[i].config_revision};
        assert_int_equal(answer(f, &known), 0);
    }
    /* One that arrives in time is not read. */
    const Reply third = {.revision = 12, .config_revision = 15};
    int n = f->n_config_reads;
    assert_int_equal(answer(f, &third), 1);
    CaroRegistry_RecordPeerConfig(f->registry, 15);
    run_for(f, 650 * MS);
    assert_int_equal(f->n_config_reads, n);
}

/* Guards against a wait that each later announcement begins anew. */
static void
test_configurations_in_a_series_do_not_put_off_the_read(void **state)
{
    Fixture *f = *state;
    follow(f);
    run_for(f, 50 * MS);
    int n = f->n_config_reads;
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":7,"
                "\"at\":10}";
    for (uint64_t revision = 7; revision < 10; revision++) {
        const Reply newer = {.revision = FIRST_REVISION,
                             .config_revision = revision};
        (void)answer(f, &newer);
    }
    assert_true(f->n_config_reads > n);
}

/* Guards against a read that was sent too early and puts off the next one. */
static void
test_read_in_progress_does_not_put_off_the_next(void **state)
{
    Fixture *f = *state;
    const Reply newer = {.revision = FIRST_REVISION, .config_revision = 7};
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":6,"
                "\"at\":10}";
    follow(f);
    run_for(f, 50 * MS);
    (void)answer(f, &newer);
    int n = f->n_config_reads;
    run_for(f, 650 * MS);
    assert_int_equal(f->n_config_reads, n + 1);
    run_for(f, 600 * MS);
    assert_int_equal(f->n_config_reads, n + 2);
}

/* Guards against upstreams that are removed in an outage of the store because
   the readers alone notice it. */
static void
test_outage_of_readers_keeps_expired_upstreams(void **state)
{
    Fixture *f = *state;
    const Reply deletion = {.revision = 12,
                            .n = 1,
                            .changes = {DELETED(12)},
                            .answer_age = 2600 * MS};
    follow(f);
    f->state = STORE_HOLDS_ALL;
    run_for(f, 2500 * MS);
    assert_int_equal(apply(f, 3, FIRST_REVISION, &deletion), 0);
    assert_true(is_kept(f));
    assert_int_equal(CaroRegistry_Revision(f->registry), 12);
    const Reply recovered = {.revision = 12};
    assert_int_equal(apply(f, 3, 12, &recovered), 0);
    run_for(f, 1500 * MS);
    assert_true(is_kept(f));
    run_for(f, 1000 * MS);
    assert_false(is_kept(f));
}

/* Guards against a reader whose watch is silently dead: its reads report a
   later revision, and until the changes are there its log counts as old. */
static void
test_reader_replaces_a_dead_watch(void **state)
{
    Fixture *f = *state;
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply = {0};
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":10}";
    set_role(f, true);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_READER);
    run_for(f, 100 * MS);
    assert_true(CaroRegistry_CollectChanges(f->registry, 10, changes, &reply));
    assert_in_range(reply.answer_age, 0, 200 * MS);
    assert_in_range(reply.config_age, 0, 200 * MS);
    assert_in_range(reply.log_age, 0, 200 * MS);
    f->state = STORE_LOSES_WATCH;
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":11}";
    change_other_key(f);
    while (!f->has_lost_watch) {
        run_for(f, 10 * MS);
    }
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":12}";
    delete_target(f);
    run_for(f, 1100 * MS);
    assert_true(CaroRegistry_CollectChanges(f->registry, 10, changes, &reply));
    assert_in_range(reply.answer_age, 0, 1050 * MS);
    run_for(f, 700 * MS);
    assert_false(is_kept(f));
    assert_true(CaroRegistry_CollectChanges(f->registry, 10, changes, &reply));
    assert_int_equal(reply.revision, 12);
    assert_int_equal(reply.changes.changes_len, 2);
    assert_true(reply.changes.changes_val[1].is_deleted);
    assert_int_equal(reply.config_revision, 5);
}

/* Guards against a reader that all its followers leave because the revision of
   the store increased without a change, so that its watch waits. */
static void
test_revision_without_change_keeps_the_log_complete(void **state)
{
    Fixture *f = *state;
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply = {0};
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":10}";
    set_role(f, true);
    run_for(f, 100 * MS);
    assert_non_null(strstr(f->watch_uri, "wait_ms=3000"));
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":11}";
    f->watched = "{\"events\":[],\"at\":11}";
    for (int i = 0; i < 25 && f->watched != NULL; i++) {
        run_for(f, 100 * MS);
        (void)CaroRegistry_CollectChanges(f->registry, 10, changes, &reply);
        assert_true(reply.log_age <= 1900 * MS);
    }
    assert_null(f->watched);
    assert_non_null(strstr(f->watched_uri, "wait_ms=200"));
    run_for(f, 500 * MS);
    assert_int_equal(CaroRegistry_Revision(f->registry), 11);
    assert_non_null(strstr(f->watch_uri, "after=11&wait_ms=3000"));
}

/* Guards against a reader that claims recent contact with a store that does
   not answer it, and against answers of VMs that do not read the store. */
static void
test_ages_of_a_reader_grow_without_the_store(void **state)
{
    Fixture *f = *state;
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply = {0};
    f->config = "{\"key\":\"op/config\",\"value\":\"\",\"revision\":5,"
                "\"at\":10}";
    set_role(f, true);
    run_for(f, 100 * MS);
    f->state = STORE_HOLDS_ALL;
    run_for(f, 2500 * MS);
    assert_true(CaroRegistry_CollectChanges(f->registry, 10, changes, &reply));
    assert_true(reply.answer_age >= 1500 * MS);
    assert_true(reply.config_age >= 1500 * MS);
    assert_true(reply.log_age >= 1500 * MS);
    set_role(f, false);
    const Reply nothing = {.revision = FIRST_REVISION};
    assert_int_equal(answer(f, &nothing), 0);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FOLLOWER);
    assert_false(
        CaroRegistry_CollectChanges(f->registry, 10, changes, &reply));
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_deleted_upstream_is_removed_while_reads_time_out, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_upstream_is_kept_when_its_lease_expires_in_an_outage, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_responses_to_other_vms_show_that_a_registration_was_deleted,
            set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_deletion_is_noticed_in_time_behind_a_lost_watch, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_odd_changes_do_not_stop_the_watch,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_response_without_list_removes_no_upstream, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_watch_without_list_is_repeated,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_lease_that_was_not_granted_is_not_asked_for_at_once, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_list_with_odd_entries_is_read,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_entry_that_became_odd_names_no_upstream, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_follower_applies_changes_and_makes_no_calls, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_invalid_replies_are_dropped,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_follower_lists_the_store_after_a_gap, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_older_list_is_not_applied, set_up,
                                        tear_down),
        cmocka_unit_test_setup_teardown(
            test_configuration_that_does_not_arrive_is_read, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_configurations_in_a_series_do_not_put_off_the_read, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_read_in_progress_does_not_put_off_the_next, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_outage_of_readers_keeps_expired_upstreams, set_up, tear_down),
        cmocka_unit_test_setup_teardown(test_reader_replaces_a_dead_watch,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_revision_without_change_keeps_the_log_complete, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_ages_of_a_reader_grow_without_the_store, set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
