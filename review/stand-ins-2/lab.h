/* A daemon as a process, with stand-ins for the platform's store, two back ends and callers. */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stdio.h>
#include <sys/types.h>

#include "../../platform/soak/store.h"
#include "../../platform/soak/wire.h"

enum {
	MAX_ARRIVALS = 512,
	N_SERVERS = 2,      /* i-1 of the service "plain", i-2 of "second" */
	STABILITY_MS = 3000 /* StabilityWindowMs */
};

typedef struct lab lab_t;

typedef struct {
	lab_t *lab;
	const char *id;
	const char *service;
	uint16_t port;
} server_t;

/* A request that a back end has run. */
typedef struct {
	char id[40];
	const server_t *server;
	cs_buf_t head; /* as it came */
} arrival_t;

struct lab {
	soak_store_t *store;
	uint16_t store_port;
	char directory[64];
	char ip[32];
	pid_t daemon;
	FILE *record;
	server_t servers[N_SERVERS];
	int n_answer_lines; /* header lines of the back end's answers, beside the usual ones */
	arrival_t arrivals[MAX_ARRIVALS];
	int n_arrivals;
	int n_answered; /* requests with 200, as the case counts them */
};

/* Starts all, and waits until the daemon has been ready for STABILITY_MS. config is that of the
 * operator. False: the case cannot run. */
bool lab_start (lab_t *lab, const char *program, const char *record, const char *config);
void lab_finish (lab_t *lab);
/* A new connection to the daemon. */
connection_t lab_connect (const lab_t *lab, uint32_t timeout_ms);
/* Sends a GET; lines are header lines beside Host, Request-Attempt and Deadline-Remaining. */
bool lab_send (lab_t *lab, connection_t *c, const char *id, const char *target, const char *lines,
	       int deadline_ms);
/* The request with the id as the back end ran it; NULL: it did not. */
const arrival_t *lab_find (lab_t *lab, const char *id);
/* True once bytes of an answer, or the end of the connection, have come within ms. */
bool lab_wait (const connection_t *c, int64_t ms);
/* True if the connection ends without a byte of an answer; false if one comes, or nothing within
 * ms. */
bool lab_is_closed (const connection_t *c, int64_t ms);
void lab_close (connection_t *c);

#endif
