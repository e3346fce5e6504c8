/* Event loop of a daemon: tasks on one libev loop, each owning its state and sockets; a
 * message queue between them; and a registry of the plug-ins that implement tasks. All of
 * it runs in one thread. */
#ifndef CS_KERNEL_H
#define CS_KERNEL_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cs/ref.h"
#include "cs/status.h"

typedef struct cs_kernel cs_kernel_t;
typedef struct cs_task cs_task_t;

/* Header of every message; first member of the typed messages in messages.h. A message is
 * sent to one task; the kernel drops its reference when that task's receive returns. */
typedef struct cs_msg {
	cs_ref_t ref;
	int kind;        /* cs_msg_kind_t */
	cs_task_t *from; /* sender */
	cs_task_t *to;
	struct cs_msg *next;
} cs_msg_t;

/* Kinds of platform; a daemon runs the plug-ins of exactly one kind. */
typedef enum {
	CS_PROFILE_NATIVE, /* the project's own interface: log service, VM list */
	CS_PROFILE_HOSTED  /* a platform behind an adapter: see platform/ */
} cs_profile_t;

/* A plug-in: the functions of one kind of task. */
typedef struct cs_plugin {
	const char *name; /* also the task's name and the prefix of its log lines */
	size_t state_size;
	/* Called once for each task, in order of plug-in name; the state is zeroed memory. */
	cs_status_t (*init) (cs_task_t *task);
	/* Called after every task's init has succeeded; may be NULL. */
	void (*start) (cs_task_t *task);
	void (*receive) (cs_task_t *task, cs_msg_t *msg);
	void (*finish) (cs_task_t *task);
	cs_profile_t profile;   /* kind of platform that the task runs on */
	struct cs_plugin *next; /* set by cs_plugin_register */
} cs_plugin_t;

struct cs_task {
	cs_kernel_t *kernel;
	cs_plugin_t *plugin;
	void *state;
	struct cs_task *next;
};

struct cs_kernel {
	struct ev_loop *loop;
	const void *settings; /* cs_settings_t or cs_host_t, depending on the profile */
	cs_profile_t profile; /* CS_PROFILE_NATIVE unless set before cs_kernel_start */
	cs_task_t *tasks;
	cs_msg_t *head, *tail; /* undelivered messages */
	ev_prepare deliver;    /* delivers messages before the loop waits for sockets */
	ev_idle no_wait;       /* active while messages remain, so that the loop does not wait */
};

/* Called from a constructor function of the plug-in's file; the plug-in must stay valid. */
void cs_plugin_register (cs_plugin_t *plugin);

void cs_kernel_init (cs_kernel_t *k, const void *settings);
/* Creates a task for every registered plug-in of the profile, then starts them all. Returns
 * the status of the first init that fails; no task is started then. */
cs_status_t cs_kernel_start (cs_kernel_t *k);
/* Runs until cs_kernel_stop. */
void cs_kernel_run (cs_kernel_t *k);
void cs_kernel_stop (cs_kernel_t *k);
void cs_kernel_finish (cs_kernel_t *k);

/* Returns the task of that name, or NULL if there is none. */
cs_task_t *cs_task_find (cs_kernel_t *k, const char *name);
/* Queues msg for task to; takes over the caller's reference. If to is NULL, the reference
 * is dropped. */
void cs_send (cs_task_t *from, cs_task_t *to, cs_msg_t *msg);
/* Allocates a zeroed message of the given size with one reference. */
void *cs_msg_new (size_t size, int kind, void (*drop) (cs_ref_t *ref));
/* drop function for messages that own no other memory. */
void cs_msg_free (cs_ref_t *ref);

/* Milliseconds of CLOCK_BOOTTIME, which includes the time that the machine is suspended. */
int64_t cs_now_ms (void);
/* Microseconds of the same clock. */
int64_t cs_now_us (void);
/* The time of day: Unix time in ms. It may jump. */
int64_t cs_time_of_day_ms (void);
/* Restarts the timer to fire once after ms milliseconds, or in the next turn of the loop if
 * ms is not positive. */
void cs_timer_start_after (struct ev_loop *loop, ev_timer *w, int64_t ms);

#endif
