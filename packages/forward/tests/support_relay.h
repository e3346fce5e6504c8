/* The real task "forward" between a raw caller and scripted back ends on loopback; the
 * tasks "store" and "former" are fakes. */
#ifndef SUPPORT_RELAY_H
#define SUPPORT_RELAY_H

#include "forward.h"
#include "support_caller.h"
#include "support_server.h"

enum {
	RELAY_BACK_ENDS = 5, /* more than one request may try */
	RELAY_MAX_STEPS = 5,
	RELAY_MAX_BODY = 1024,
	RELAY_TIMEOUT_MS = 2500, /* of every route */
	RELAY_TARGET_MS = 200,
	RELAY_GAP_MS = 250
};

/* What the back end that is asked next does. */
typedef struct {
	const char *bytes;     /* sent at once; NULL: none */
	const char *more;      /* sent a moment later; NULL: none */
	bool close;            /* close the connection behind all that */
	int64_t more_after_ms; /* that moment; 0: 50 */
} step_t;

typedef struct {
	cs_kernel_t kernel;
	cs_host_t host;
	cs_forward_t *forward;
	cs_serving_t *serving;
	uint16_t port;
	canned_server_t back_ends[RELAY_BACK_ENDS];
	const step_t *steps; /* by attempt, whichever back end gets it; the last one stays */
	size_t n_steps;
	size_t attempts;
	cs_buf_t requests;     /* all that reached back ends */
	canned_server_t *slow; /* that has more to send */
	const step_t *slow_step;
	ev_timer more;
	int notes; /* sent to the store */
} relay_t;

int relay_setup (void **state);
int relay_teardown (void **state);
/* Begins a script of n steps. */
void relay_script (relay_t *r, const step_t *steps, size_t n);
/* Lists a back end with that many slots. */
void relay_list (relay_t *r, size_t which, uint32_t slots);
/* Opens a connection, sends the request and runs until the daemon closes it. */
void relay_request (relay_t *r, caller_t *c, const char *request);
/* Runs the loop for that long. */
void relay_run_for (relay_t *r, double s);
/* How often the text stands in the bytes. */
size_t relay_count (const cs_buf_t *bytes, const char *text);

#endif
