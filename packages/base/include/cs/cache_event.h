/* Events of a model engine's prompt-prefix cache. */
#ifndef CS_CACHE_EVENT_H
#define CS_CACHE_EVENT_H

#include <stdbool.h>
#include <stdint.h>

enum {
	CS_MAX_CACHE_EVENTS = 8 /* maximum number read from one report */
};

/* The events of an engine are numbered consecutively, so that a gap shows lost events. */
typedef struct {
	uint64_t number;
	uint64_t prefix; /* hash that the attempt sent in X-Cs-Prefix */
	bool is_stored;  /* true: stored; false: removed */
} cs_cache_event_t;

#endif
