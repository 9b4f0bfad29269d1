/* Starts a target again after each crash, as a platform does. */
#include "fake.h"

#include "internal/caro_clock.h"

#include <signal.h>
#include <stdio.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static volatile sig_atomic_t child_pid;

/* Passes the signal on to the target and ends with it. */
static void
on_signal(int number)
{
    if (child_pid > 0) {
        (void)kill((pid_t)child_pid, number);
        (void)waitpid((pid_t)child_pid, NULL, 0);
    }
    _exit(0);
}

static int
run_child(const FakeOptions *options, int start)
{
    char name[64];
    FakeOptions child = *options;
    (void)prctl(PR_SET_PDEATHSIG, SIGKILL);
    (void)snprintf(name, sizeof(name), "%s-%d", options->name, start);
    if (!options->keeps_name) {
        child.name = name;
    }
    return FakeTarget_Run(&child);
}

int
FakeRestart_Run(const FakeOptions *options)
{
    (void)signal(SIGTERM, on_signal);
    for (int start = 1;; start++) {
        int status;
        pid_t pid = fork();
        child_pid = pid;
        if (pid < 0) {
            perror("carofake: fork");
            return 1;
        }
        if (pid == 0) {
            (void)signal(SIGTERM, SIG_DFL);
            _exit(run_child(options, start));
        }
        if (waitpid(pid, &status, 0) != pid ||
            (WIFEXITED(status) && WEXITSTATUS(status) != 1)) {
            return 1;
        }
        (void)usleep((useconds_t)options->restart_ms * 1000);
    }
}
