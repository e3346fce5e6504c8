/* Planner of the groups of a hosted platform: back ends join groups by orders, and the
 * head of a group is opened and closed.
 *
 * A Form record in the ledger assigns members; its offset gives the epoch, so that epochs
 * rise and two planners that append on the same end cannot both succeed. Joins carry the
 * epoch, and a back end refuses one below any that it has seen. Rules:
 *
 * - A head is opened only when every member has reported itself ready under this name and
 *   epoch. Once it may be open, a member that no longer does makes the group lost.
 * - Members of a group that may be open are taken for another one only after its head has
 *   reported that it is closed or broken, has moved to a later epoch, has ended, or has
 *   been unlisted and silent for HEAD_GONE_MS, or when no daemon that reads the store
 *   could reach it either; its silence counts only while another member answers, as a cut
 *   may lie between this daemon and all of them. While an open order is unanswered, which may
 *   be carried out up to ORDER_LATE_MS later, only moving the head counts; its join names
 *   the number of orders that it had taken when it was seen closed, and fails if one came.
 * - A planner knows nothing by itself that the ledger and the reports don't say; one that
 *   takes over assumes that orders of its predecessor are still on their way.
 *
 * Load: one model load takes 12 to 16 s, a join with weights at hand 0.2 to 1.6 s, and a
 * member is lost every few seconds. So repairs take survivors and staged back ends of the
 * same domain first, and idle ones stage the weights that most members need. */
#ifndef CS_FORMATION_H
#define CS_FORMATION_H

#include "cs/fleet.h"
#include "cs/serving.h"

enum {
	CS_FORMATION_ORDER_LATE_MS = 12500, /* the platform: an order may take effect 12 s late */
	CS_FORMATION_TAKEOVER_MS = 1300,    /* a planner stops within its lease of 1.28 s */
	CS_FORMATION_ASKED_MS = 1500,       /* daemons answer a question well within that */
	CS_FORMATION_OPENING_MS = 500,      /* a head opens 0.3 s after it took the order */
	CS_FORMATION_SILENT_PROBES = 2,     /* in a row: one may be lost on the way */
	CS_FORMATION_HEAD_GONE_MS = 8000    /* a stall (4 s) and the list's lag (3.6 s) */
};

/* A group as the ledger or its members' reports define it. */
typedef struct cs_band {
	uint64_t epoch;
	char *name;
	char *service;
	char *model;
	char **members; /* the first is the head */
	size_t n;
	bool adopted;         /* known by reports alone, which may not show all of it: it is left to
			       * serve, and not completed or opened */
	bool inherited;       /* made before this planner began: it may be open already */
	bool opened;          /* an open order was sent, or the head was seen open */
	bool lost;            /* a member is missing, or the head is broken */
	bool released;        /* its members may be taken */
	int64_t made_ms;      /* when this planner learned of it */
	int64_t opened_ms;    /* when the last open order was sent; 0: never */
	bool open_unanswered; /* it has had no answer yet */
	int64_t accepted_ms;  /* when the head's acceptance of it was read; 0: never */
	int64_t doubt_ms;     /* when an open order was sent last that had no answer, or might have
			       * been by a planner before; it may still be on its way; 0: never */
	int64_t closed_since_ms; /* since when probes show a head that does not serve and took no
				  * order; 0: they don't */
	int64_t checked_ms;      /* the last of these probes */
	uint64_t sequence;       /* orders that the head had taken by then */
	bool quiet;        /* lost, and its head reports that it does not serve: its members may be
			    * taken for a group that the head leads, as moving on closes it */
	int64_t closed_ms; /* when the last close order was sent; 0: never */
	int64_t closing_since_ms;
	int64_t head_missing_ms; /* since when the head is unlisted; 0: listed */
	int64_t probed_ms;
	int64_t suspected_ms; /* when a daemon last said that it doesn't answer; 0: not since it was
			       * found sound */
	uint32_t probes;      /* rounds of probes since then */
	int64_t relisted_ms;  /* when a missing member was listed again */
	bool unlisted;        /* a member is unlisted */
	int64_t *missing_ms;  /* by member: since when it is unlisted; 0: listed, or not an open
				 group */
	bool *missing;        /* by member: it was unlisted at the last plan */
	uint32_t *silent;     /* by member: probes in a row that it did not answer */
	int64_t asked_ms;     /* when daemons were asked about the head; 0: not yet */
	int64_t *answered_ms; /* by member: when it answered its last probe; 0: it didn't */
	bool head_serves;     /* its last probe said that it is open, or closing */
	bool head_ended;      /* nothing of it runs at its address any more */
	int64_t *joined_ms;   /* by member: when the last join order was sent; 0: never */
	UT_hash_handle hh;
} cs_band_t;

typedef enum {
	CS_FORM_JOIN = 1, /* numbers stand in the log: docs/OPERATIONS.md */
	CS_FORM_OPEN,
	CS_FORM_CLOSE,
	CS_FORM_STAGE,
	CS_FORM_PROBE, /* ask a member for its report */
	CS_FORM_ASK    /* ask all daemons whether an unlisted head answers them */
} cs_form_kind_t;

/* One action; its pointers are valid until the next call on the formation or the fleet. */
typedef struct {
	cs_form_kind_t kind;
	const cs_band_t *band; /* NULL: STAGE */
	const char *id;        /* of the back end */
	const char *address;
	const char *model; /* JOIN and STAGE */
	bool expects;      /* JOIN: refuse it if another order was taken behind `sequence` */
	uint64_t sequence;
	bool cut;           /* CLOSE: end the requests in progress */
	const char *reason; /* static text for the log */
} cs_form_action_t;

/* Mechanisms that tests turn off. */
typedef enum {
	CS_FORMATION_NO_HEAD_CHECK = 1 << 0,  /* take members whatever their old head does */
	CS_FORMATION_NO_INHERITANCE = 1 << 1, /* older groups were never opened */
	CS_FORMATION_NO_READY_CHECK = 1 << 2, /* open without having seen all members ready */
	CS_FORMATION_NO_LATE_OPENS = 1 << 3,  /* an unanswered open order had no effect */
	CS_FORMATION_NO_EXPECTATION = 1 << 4  /* move a head whatever orders it took meanwhile */

} cs_formation_disabled_t;

typedef struct cs_assignment cs_assignment_t;
typedef struct cs_staging cs_staging_t;

typedef struct {
	cs_band_t *bands;             /* uthash by epoch */
	cs_assignment_t *assignments; /* uthash by back end */
	cs_band_t **proposed;         /* groups that the plan would have appended to the ledger */
	size_t n_proposed;
	int64_t started_ms; /* when this daemon began to plan */
	int64_t loads_ms;   /* when load_tokens was brought up to date */
	double load_tokens; /* loads that may begin */
	uint32_t disabled;  /* cs_formation_disabled_t */
	int64_t eager_until_ms;
	bool caught_up;
	cs_staging_t *staging; /* uthash by back end: orders to stage weights */
	size_t listed;         /* back ends in the list at the last plan */
	int64_t listed_ms;     /* when their number changed last */
	cs_form_action_t *actions;
	size_t n_actions;
	size_t cap_actions;
} cs_formation_t;

void cs_formation_init (cs_formation_t *f);
void cs_formation_finish (cs_formation_t *f);
/* Begins to plan: forgets all, as nothing is known of the orders of others. While the whole
 * system starts for the first time, until eager_until_ms, loads are not spread over time:
 * no request waits for the weight store yet. */
void cs_formation_begin (cs_formation_t *f, int64_t now_ms, int64_t eager_until_ms);
/* The ledger has been read to its end: what is folded from now on is this planner's own. */
void cs_formation_caught_up (cs_formation_t *f);
/* Takes in a Form record: the members belong to this group from now on. */
void cs_formation_fold (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *name,
			const char *service, const char *model, const char *const *members,
			size_t n);
/* Fills f->actions with what is due. The caller sends the orders, appends the records on
 * the ledger's end, and folds what it then reads there. */
void cs_formation_plan (cs_formation_t *f, int64_t now_ms, const cs_fleet_t *fleet,
			const cs_serving_t *serving);
/* Where the back end was listed last; NULL: not known. */
const char *cs_formation_address (const cs_formation_t *f, const char *id);
/* An open order was answered; one that was refused had no effect. */
void cs_formation_opened (cs_formation_t *f, int64_t now_ms, uint64_t epoch, bool accepted);
/* A daemon has noticed that the group doesn't answer: its members are probed. */
void cs_formation_suspect (cs_formation_t *f, int64_t now_ms, uint64_t epoch);

/* A daemon reached the head of the group. */
void cs_formation_witnessed (cs_formation_t *f, uint64_t epoch);

typedef enum {
	CS_PROBE_SILENT,
	CS_PROBE_ENDED, /* nothing of that back end runs at its address */
	CS_PROBE_MOVED, /* it is no member of this group any more */
	CS_PROBE_MEMBER /* it is, in the state given */
} cs_probe_t;

/* sequence: orders that the back end has taken in this life. */
void cs_formation_probed (cs_formation_t *f, int64_t now_ms, uint64_t epoch, const char *id,
			  cs_probe_t result, cs_member_state_t state, uint64_t sequence);

#endif
