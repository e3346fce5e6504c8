/* Phases of a planned stop. The balancer sends new connections for some time after
 * readiness is off, and callers keep the ones that they have; so requests are taken at
 * first, then refused as not run, so that none is in progress when the process must end. */
#ifndef CS_STOP_H
#define CS_STOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CS_STOP_BALANCER_MS = 2500, /* two missed checks, one a second, and a connection's way */
	CS_STOP_MARGIN_MS = 400     /* the process ends that long before it is killed */
};

typedef enum {
	CS_STOP_NONE,
	CS_STOP_TAKES,   /* readiness is off; requests are still taken */
	CS_STOP_REFUSES, /* new requests are refused, those in progress go on */
	CS_STOP_OVER     /* end now */
} cs_stop_t;

/* stopping_ms: when the stop began, 0: it has not. */
cs_stop_t cs_stop_phase (int64_t stopping_ms, int64_t now_ms, uint32_t grace_ms,
			 size_t in_progress);

#endif
