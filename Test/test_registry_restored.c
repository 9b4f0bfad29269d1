/*
 * Tests of the copy of the store after the store was restored from an older
 * copy, with a stand-in of the store over loopback.
 */
#include "test.h"

#include "registry_fixture.h"

#define CONFIG(revision, at)                                                  \
    "{\"key\":\"op/config\",\"value\":\"\",\"revision\":" revision            \
    ",\"at\":" at "}"

/* The store goes back to a revision and tells it. */
static void
restore_store(Fixture *f, long long revision, const char *list)
{
    f->era = f->era == 0 ? 2 : f->era + 1;
    f->revision = revision;
    f->list = list;
    f->has_no_history = true;
    if (f->watch != NULL) {
        respond(f, f->watch, 410, "{}");
        f->watch = NULL;
    }
}

/* Lists the upstream in a state. */
static void
write_list(char *out, size_t size, const char *id, const char *state,
           long long revision)
{
    char text[VALUE_MAX / 2];
    char value[VALUE_MAX];
    int n = snprintf(text, sizeof(text),
                     "{\"service\":\"pool\",\"address\":\"10.0.0.1:80\","
                     "\"zone\":\"z\",\"version\":\"v1\",\"slots\":6,"
                     "\"state\":\"%s\",\"born\":17}",
                     state);
    (void)EVP_EncodeBlock((unsigned char *)value, (unsigned char *)text, n);
    (void)snprintf(out, size,
                   "{\"entries\":[{\"key\":\"servers/%s\",\"value\":\"%s\","
                   "\"revision\":%lld,\"created_at\":1,\"lease\":7}],"
                   "\"has_more\":false,\"at\":%lld}",
                   id, value, revision, revision);
}

/* Guards against changes that are taken for known because their revisions are
   below those of before. */
static void
test_changes_after_a_restoration_are_applied(void **state)
{
    Fixture *f = *state;
    for (int i = 0; i < 20; i++) {
        change_other_key(f);
        run_for(f, 20 * MS);
    }
    restore_store(f, 12, NULL);
    run_for(f, 800 * MS);
    assert_int_equal(f->n_restorations, 1);
    assert_int_equal(CaroRegistry_Timeline(f->registry), 1);
    assert_int_equal(f->listed, CaroRevision_Make(1, FIRST_REVISION));
    assert_int_equal(f->counters.values[CARO_COUNT_STORE_RESTORATIONS], 1);
    assert_true(is_kept(f));
    run_for(f, 2500 * MS);
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
    assert_int_equal(CaroRegistry_Revision(f->registry),
                     CaroRevision_Make(1, 13));
}

/* Guards against a watch that goes on from a number which the store has given
   out again, so that the changes before it are missed. */
static void
test_watch_of_another_timeline_is_followed_by_a_list(void **state)
{
    Fixture *f = *state;
    f->era = 1;
    change_other_key(f);
    run_for(f, 600 * MS);
    int n = f->n_lists;
    f->era = 2;
    f->list = "{\"entries\":[],\"has_more\":false,\"at\":14}";
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"other\",\"value\":\"\",\"revision\":12}");
    f->revision = 14;
    answer_watch(f);
    run_for(f, 300 * MS);
    assert_int_equal(f->n_lists, n + 1);
    assert_int_equal(CaroRegistry_Revision(f->registry),
                     CaroRevision_Make(1, 14));
    /* It may be registered again, as after an outage. */
    assert_true(is_kept(f));
    run_for(f, 2500 * MS);
    assert_false(is_kept(f));
}

/* Guards against a confirmation by a copy that lacks what the operator has not
   written again yet. */
static void
test_read_of_a_copy_confirms_nothing(void **state)
{
    Fixture *f = *state;
    f->config = CONFIG("9", "10");
    run_for(f, 2200 * MS);
    assert_true(f->confirmed_at > 0);
    CaroTime before = f->confirmed_at;
    f->config = CONFIG("8", "8");
    restore_store(f, 8, "{\"entries\":[],\"has_more\":false,\"at\":8}");
    run_for(f, 700 * MS);
    assert_int_equal(f->n_restorations, 1);
    assert_int_equal(f->confirmed_at, before);
    run_for(f, 700 * MS);
    assert_true(f->confirmed_at > before + CARO_SECOND);
    /* Nor does one that is older than the configuration in force. */
    f->config_outcome = 2;
    f->config = CONFIG("7", "7");
    restore_store(f, 7, NULL);
    run_for(f, 200 * MS);
    before = f->confirmed_at;
    run_for(f, 1500 * MS);
    assert_int_equal(f->confirmed_at, before);
}

/* Guards against upstreams that get requests again because the copy was made
   before they drained or left. */
static void
test_upstreams_that_left_before_do_not_come_back(void **state)
{
    Fixture *f = *state;
    char list[VALUE_MAX * 4];
    char change[VALUE_MAX * 4];
    write_list(change, sizeof(change), "i-1", "draining", 11);
    char *item = strstr(change, "{\"key\"");
    *strstr(item, "],\"has_more\"") = '\0';
    f->revision = 11;
    (void)snprintf(f->change, sizeof(f->change), "%s", item);
    answer_watch(f);
    run_for(f, 600 * MS);
    CaroHandle h = CaroTargets_Find(f->targets, "i-1");
    assert_true(CaroTargets_GetConst(f->targets, h)->entry.is_leaving);
    write_list(list, sizeof(list), "i-1", "ready", 10);
    restore_store(f, 10, list);
    run_for(f, 500 * MS);
    h = CaroTargets_Find(f->targets, "i-1");
    assert_true(CaroTargets_GetConst(f->targets, h)->entry.is_leaving);
    run_for(f, 2500 * MS);
    delete_target(f);
    run_for(f, 600 * MS);
    assert_false(is_kept(f));
    restore_store(f, 10, list);
    run_for(f, 500 * MS);
    assert_int_equal(f->n_restorations, 2);
    h = CaroTargets_Find(f->targets, "i-1");
    const CaroTarget *target = CaroTargets_GetConst(f->targets, h);
    assert_true(target->notice.unavailable_until >
                CaroClock_Now() + 4 * CARO_SECOND);
    assert_true(target->notice.unavailable_until <=
                CaroClock_Now() + 5 * CARO_SECOND);
}

/* Guards against a lease of before, which may be another VM's now. */
static void
test_vm_registers_again_under_a_new_lease(void **state)
{
    Fixture *f = *state;
    f->lease = "{\"lease\":5,\"ttl_ms\":60000}";
    CaroRegistry_SetSelf(f->registry, "vm", "127.0.0.1:1");
    run_for(f, 500 * MS);
    assert_int_equal(f->n_leases, 1);
    assert_int_equal(f->n_writes, 1);
    restore_store(f, 8, NULL);
    run_for(f, 1500 * MS);
    assert_int_equal(f->n_leases, 2);
    assert_int_equal(f->n_writes, 2);
}

/* Guards against a second restoration that is missed within the recovery from
   the first. */
static void
test_restoration_within_the_recovery_from_another(void **state)
{
    Fixture *f = *state;
    restore_store(f, 9, NULL);
    run_for(f, 30 * MS);
    restore_store(f, 6, "{\"entries\":[],\"has_more\":false,\"at\":6}");
    run_for(f, 600 * MS);
    assert_int_equal(CaroRegistry_Timeline(f->registry), 2);
    assert_int_equal(CaroRegistry_Revision(f->registry),
                     CaroRevision_Make(2, 6));
    assert_int_equal(f->listed, CaroRevision_Make(2, 6));
}

/* --- followers --- */

static int
apply_reply(Fixture *f, CaroRevision revision, bool reaches_back)
{
    caro_store_changes reply = {.revision = (uint64_t)revision,
                                .reaches_back = reaches_back};
    CaroHandle reader = CARO_NO_HANDLE;
    for (int i = 0; i < 40 && reader == CARO_NO_HANDLE; i++) {
        run_for(f, 20 * MS);
        reader = CaroRegistry_NextReader(f->registry);
    }
    assert_true(reader == 3 || reader == 5);
    return CaroRegistry_ApplyChanges(f->registry, reader,
                                     CaroRegistry_Revision(f->registry),
                                     CaroClock_BootTime(), &reply);
}

static void
follow_reader(Fixture *f, CaroRevision revision)
{
    CaroStoreReadersView view = {
        .is_ready = true, .n_vms = 100, .readers = {3, 5}};
    CaroRegistry_RecordPeerConfig(f->registry, 1);
    CaroRegistry_SetView(f->registry, &view);
    run_for(f, 50 * MS);
    assert_int_equal(apply_reply(f, revision, true), 0);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FOLLOWER);
}

/* Guards against a follower that does not learn from its reader that the store
   was restored, and against one that believes a reader which has not. */
static void
test_follower_learns_of_a_restoration_from_its_reader(void **state)
{
    Fixture *f = *state;
    follow_reader(f, FIRST_REVISION);
    restore_store(f, 8, "{\"entries\":[],\"has_more\":false,\"at\":8}");
    int n = f->n_lists;
    (void)apply_reply(f, CaroRevision_Make(1, 8), false);
    assert_int_equal(f->n_restorations, 1);
    run_for(f, 700 * MS);
    assert_int_equal(f->n_lists, n + 1);
    assert_int_equal(CaroRegistry_Revision(f->registry),
                     CaroRevision_Make(1, 8));
    assert_int_equal(apply_reply(f, FIRST_REVISION + 1, true), CARO_ERR_INPUT);
    assert_int_equal(apply_reply(f, CaroRevision_Make(1, 8), true), 0);
}

/* Guards against a log of before that counts as complete up to a revision of
   another timeline. */
static void
test_log_of_before_is_not_complete(void **state)
{
    (void)state;
    CaroStoreLog *log = CaroStoreLog_Create();
    static caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply = {0};
    CaroStoreLog_Reset(log, 39);
    CaroStoreLog_RecordComplete(log, CARO_SECOND);
    CaroStoreLog_RecordRead(log, CaroRevision_Make(1, 30), 2 * CARO_SECOND);
    assert_int_equal(CaroStoreLog_CompleteAt(log), CARO_SECOND);
    assert_int_equal(CaroStoreLog_BehindSince(log), 2 * CARO_SECOND);
    CaroStoreLog_Reset(log, CaroRevision_Make(1, 30));
    assert_int_equal(CaroStoreLog_CompleteAt(log), 2 * CARO_SECOND);
    CaroStoreLog_Collect(log, 39, changes, &reply);
    assert_false(reply.reaches_back);
    CaroStoreLog_Destroy(log);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_changes_after_a_restoration_are_applied, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_watch_of_another_timeline_is_followed_by_a_list, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(test_read_of_a_copy_confirms_nothing,
                                        set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_upstreams_that_left_before_do_not_come_back, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_vm_registers_again_under_a_new_lease, set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_restoration_within_the_recovery_from_another, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_follower_learns_of_a_restoration_from_its_reader, set_up,
            tear_down),
        cmocka_unit_test(test_log_of_before_is_not_complete),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
