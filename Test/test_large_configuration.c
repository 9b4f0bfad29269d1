/*
 * Tests of a registry with a configuration of many routes, against a stand-in
 * of the store: how it is confirmed, and what other VMs learn of it.
 */
#include "test.h"

#include "registry_fixture.h"

#define CONFIG_BYTES 200000

static char config_event[2 * CONFIG_BYTES + 256];

/* Puts a large configuration with the revision into the next response to a
   watch. */
static void
write_config(Fixture *f, long long revision)
{
    static unsigned char text[CONFIG_BYTES];
    static char value[2 * CONFIG_BYTES];
    memset(text, ' ', sizeof(text));
    (void)EVP_EncodeBlock((unsigned char *)value, text, sizeof(text));
    (void)snprintf(config_event, sizeof(config_event),
                   "{\"events\":[{\"key\":\"op/config\",\"value\":\"%s\","
                   "\"revision\":%lld}],\"at\":%lld}",
                   value, revision, revision);
    f->revision = revision;
    f->watched = config_event;
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"other\",\"value\":\"\",\"revision\":%lld}",
                   revision - 1);
    answer_watch(f);
}

static CaroTime
confirmation_age(const Fixture *f)
{
    return CaroClock_BootTime() - f->confirmed_at;
}

/* Guards against a large value that is read again and again to confirm it. */
static void
test_large_configuration_is_not_read_again_to_confirm_it(void **state)
{
    Fixture *f = *state;
    write_config(f, 12);
    run_for(f, 1000 * MS);
    assert_null(f->watched);
    int n = f->n_config_reads;
    for (int i = 0; i < 4; i++) {
        run_for(f, 1500 * MS);
        change_other_key(f);
        assert_true(confirmation_age(f) < 2600 * MS);
    }
    assert_int_equal(f->n_config_reads, n);
    assert_true(f->n_revision_reads >= 2);
}

/* Guards against a confirmation by a log that lacks a change. */
static void
test_large_configuration_is_not_confirmed_before_its_successor_is_known(
    void **state)
{
    Fixture *f = *state;
    write_config(f, 12);
    run_for(f, 2500 * MS);
    f->state = STORE_LOSES_WATCH;
    change_other_key(f);
    run_for(f, 700 * MS); /* The next watch is lost. */
    assert_true(f->has_lost_watch);
    CaroTime written_at = CaroClock_BootTime();
    f->revision++; /* A change that only a later watch returns. */
    run_for(f, 1900 * MS);
    assert_true(f->n_revision_reads >= 2);
    assert_true(f->confirmed_at <= written_at);
    (void)snprintf(f->change, sizeof(f->change),
                   "{\"key\":\"other\",\"value\":\"\",\"revision\":%lld}",
                   f->revision);
    answer_watch(f);
    run_for(f, 3000 * MS);
    assert_true(f->confirmed_at > written_at);
}

/* Applies a reader's reply with a configuration that it leaves out. */
static void
apply_omitted_config(Fixture *f, CaroRevision revision)
{
    caro_store_change change = {.key = "op/config",
                                .revision = (uint64_t)revision,
                                .is_omitted = true};
    caro_store_changes reply = {.revision = (uint64_t)revision,
                                .reaches_back = true};
    CaroHandle reader = CARO_NO_HANDLE;
    reply.changes.changes_val = &change;
    reply.changes.changes_len = 1;
    for (int i = 0; i < 30 && reader == CARO_NO_HANDLE; i++) {
        run_for(f, 20 * MS);
        reader = CaroRegistry_NextReader(f->registry);
    }
    assert_int_equal(
        CaroRegistry_ApplyChanges(f->registry, reader,
                                  CaroRegistry_Revision(f->registry),
                                  CaroClock_BootTime(), &reply),
        1);
}

/* Guards against a list of the store at all VMs of a domain whose reader has
   just become one. */
static void
test_new_reader_passes_on_that_a_configuration_was_left_out(void **state)
{
    Fixture *f = *state;
    CaroStoreReadersView view = {
        .is_ready = true, .n_vms = 100, .readers = {3, 5}};
    caro_store_change changes[CARO_CHANGES_MAX];
    caro_store_changes reply;
    CaroRegistry_RecordPeerConfig(f->registry, 1);
    CaroRegistry_SetView(f->registry, &view);
    run_for(f, 50 * MS);
    apply_omitted_config(f, 12);
    assert_int_equal(CaroRegistry_Role(f->registry), CARO_STORE_FOLLOWER);
    view.is_reader = true;
    CaroRegistry_SetView(f->registry, &view);
    run_for(f, 50 * MS);
    assert_true(CaroRegistry_CollectChanges(f->registry, FIRST_REVISION,
                                            changes, &reply));
    assert_true(reply.reaches_back);
    assert_int_equal(reply.changes.changes_len, 1);
    assert_true(changes[0].is_omitted);
    assert_false(changes[0].is_deleted);
    /* It fetched the value from another VM, and does not read it. */
    int n = f->n_config_reads;
    CaroRegistry_RecordPeerConfig(f->registry, 12);
    CaroRegistry_RecordConfigInForce(f->registry, 12, CONFIG_BYTES);
    run_for(f, 2500 * MS);
    assert_true(f->n_config_reads <= n + 1);
    assert_true(f->n_revision_reads >= 1);
    assert_true(confirmation_age(f) < 2000 * MS);
}

int
main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(
            test_large_configuration_is_not_read_again_to_confirm_it, set_up,
            tear_down),
        cmocka_unit_test_setup_teardown(
            test_large_configuration_is_not_confirmed_before_its_successor_is_known,
            set_up, tear_down),
        cmocka_unit_test_setup_teardown(
            test_new_reader_passes_on_that_a_configuration_was_left_out,
            set_up, tear_down),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
