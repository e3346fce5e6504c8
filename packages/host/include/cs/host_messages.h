/* Messages between the tasks of a daemon on a hosted platform.
 *
 * Tasks: "store" (the adapter's; reads and writes the metadata store), "forward" (forwards callers'
 * requests), "former" (plans the groups).
 *
 *   store  -> forward, former  SERVING, BACKEND, LIST_STATE
 *   store  -> forward          CONFIG_BEHIND
 *   store  -> former           TURN, LEDGER, PROPOSED
 *   former -> store            PROPOSE
 *   forward, former <-> store  NOTE, through the store to all daemons
 *   store  -> forward, former  EVACUATION
 *   store  -> forward          COLD_SHARE
 *   forward <-> store          LOADS
 *   forward -> former          TRAFFIC
 *   forward <-> store          REFUSED_CAUSE
 *   forward <-> former         LEAVING, TURNED_AWAY
 *   main   -> all              STOP, BOUNDS */
#ifndef CS_HOST_MESSAGES_H
#define CS_HOST_MESSAGES_H

#include "cs/cold_share.h"
#include "cs/crash_counts.h"
#include "cs/fleet.h"
#include "cs/kernel.h"
#include "cs/note.pb-c.h"
#include "cs/serving.h"

typedef enum {
	CS_HOST_SERVING = 1000, /* a newer configuration has taken effect */
	CS_HOST_BACKEND,
	CS_HOST_LIST_STATE,
	CS_HOST_CONFIG_BEHIND, /* is_true: a newer configuration is known of, but not read yet */
	CS_HOST_PLANNER_LEASE,
	CS_HOST_LEDGER,
	CS_HOST_PROPOSE,
	CS_HOST_PROPOSED,
	CS_HOST_NOTE,    /* cs_ledger_msg_t: a packed Note; `offset` is its position in the topic.
			    To forward also once an era without one: where the reading begins */
	CS_HOST_LEAVING, /* a back end has said in an answer that it leaves */
	CS_HOST_TURNED_AWAY,      /* a back end wants no requests of this daemon for a time */
	CS_HOST_REFUSED_CAUSE,    /* what crashes back ends, to be kept in the store or
				       kept  there; 0: what is kept follows */
	CS_HOST_TRAFFIC,          /* the first request of any caller has been received */
	CS_HOST_SETTINGS_CHANGED, /* run-time settings have changed, see cs_host_apply_settings */
	CS_HOST_STOP,
	CS_HOST_EVACUATION, /* a zone is to get no requests, or gets them again */
	CS_HOST_LOADS,      /* loads of back ends, as this daemon or others saw them */
	CS_HOST_COLD_SHARE  /* which cold back ends this daemon may use, for a while */
} cs_host_msg_kind_t;

typedef struct {
	cs_msg_t msg;
	cs_serving_t *serving;
} cs_serving_msg_t;

/* The list entry of a back end has changed or was removed. */
typedef struct {
	cs_msg_t msg;
	char *id;
	cs_backend_t *backend; /* NULL: removed from the list */
} cs_backend_msg_t;

/* What an incarnation of a back end has said in an answer. */
typedef struct {
	cs_msg_t msg;
	char *id;
	uint64_t born;
	int64_t until_ms; /* TURNED_AWAY; cs_now_ms clock */
} cs_backend_said_msg_t;

typedef struct {
	cs_msg_t msg;
	cs_crash_key_t key; /* id 0: a listing of all that is kept begins */
	int64_t until_ms;   /* cs_now_ms clock; 0: kept no more */
	int64_t since_ms;   /* begin of the evidence, on the same clock; 0: unknown */
} cs_crash_msg_t;

typedef struct {
	cs_msg_t msg;
	char *zone;
	bool is_evacuated; /* false: taken back */
} cs_zone_msg_t;

typedef struct {
	cs_msg_t msg;
	cs_cold_place_t place;
} cs_cold_share_msg_t;

/* LIST_STATE: whether the list of back ends can be read. TURN: whether this daemon holds the
 * planner lease, and until when (until_ms, cs_now_ms clock). */
typedef struct {
	cs_msg_t msg;
	bool is_true;
	int64_t until_ms;
	bool is_new_lease; /* TURN: another daemon may have planned; the ledger is read from its
			      start */
} cs_state_msg_t;

/* LEDGER: a record, or, if bytes.n is 0, the end of the ledger at `offset`. PROPOSE: a request to
 * append these records if the ledger ends at `offset` in this era. PROPOSED: the status of that
 * request. */
typedef struct {
	cs_msg_t msg;
	uint64_t offset;
	uint64_t era;      /* LEDGER, PROPOSE, NOTE to forward: of the store; its offsets mean
			      nothing in another */
	cs_buf_t *records; /* PROPOSE */
	size_t n_records;
	cs_buf_t bytes; /* LEDGER */
	cs_status_t status;
	bool is_past; /* NOTE: it was there before this daemon began to read */
} cs_ledger_msg_t;

/* Takes a reference to the configuration. */
cs_serving_msg_t *cs_serving_msg (cs_serving_t *serving);
/* Replaces *held, which may be NULL, by the message's configuration; releases the old reference. */
void cs_serving_msg_apply (const cs_serving_msg_t *m, cs_serving_t **held);
/* Takes a reference to the back end, which may be NULL; copies id. */
cs_backend_msg_t *cs_backend_msg (cs_str_t id, cs_backend_t *backend);
/* Updates the fleet; false if nothing changed. */
bool cs_backend_msg_apply (const cs_backend_msg_t *m, cs_fleet_t *fleet);
/* Copies id. */
cs_backend_said_msg_t *cs_backend_said_msg (int kind, const char *id, uint64_t born,
					    int64_t until_ms);
cs_crash_msg_t *cs_crash_msg (int kind, cs_crash_key_t key, int64_t until_ms, int64_t since_ms);
/* An EVACUATION. Copies zone. */
cs_zone_msg_t *cs_zone_msg (cs_str_t zone, bool is_evacuated);
cs_cold_share_msg_t *cs_cold_share_msg (const cs_cold_place_t *place);
cs_state_msg_t *cs_state_msg (int kind, bool yes, int64_t until_ms);
cs_ledger_msg_t *cs_ledger_msg (int kind, uint64_t offset, cs_str_t bytes, cs_status_t status);
/* A NOTE for the store, packed from note. Sets note->from, which refers to `from` afterwards. */
cs_ledger_msg_t *cs_note_msg (const char *from, Cs__Note *note);

#endif
