#include "support_claims_impl.h"

/* A paused daemon may be shown as left by the control stream; it runs on when it resumes, as a
 * daemon does that has not yet seen its exclusion. */
void
world_inject_faults (world_t *w)
{
	uint32_t i = cs_rng_below (&w->rng, WORLD_DAEMONS);
	world_daemon_t *d = &w->daemons[i];
	if (world_draw (w, w->faults.daemon_crashes) && w->n_left < 1000) {
		world_replace_daemon (w, i);
	} else if (world_draw (w, w->faults.log_disconnects)) {
		d->is_disconnected_from_log = !d->is_disconnected_from_log;
	} else if (world_draw (w, w->faults.pauses)) {
		d->paused = !d->paused;
		if (d->paused && world_draw (w, 300) && w->n_left < 1000)
			w->left[w->n_left++] = d->incarnation;
	} else if (w->homes && world_draw (w, w->faults.home_moves)) {
		world_move_home (w, i, cs_rng_below (&w->rng, WORLD_DAEMONS));
	} else if (w->homes && world_draw (w, w->faults.daemon_partitions)) {
		d->is_disconnected_from_daemons = !d->is_disconnected_from_daemons;
	}
}

void
world_run_random (world_t *w, uint64_t seed)
{
	static const world_faults_t faults = {.refused = 60,
					      .lost = 60,
					      .late = 60,
					      .vanished = 40,
					      .not_sent = 100,
					      .declined = 60,
					      .broken = 150,
					      .stray = 50,
					      .daemon_crashes = 2,
					      .log_disconnects = 4,
					      .pauses = 4,
					      .caller_leaves = 100,
					      .requests_lost = 50,
					      .replies_lost = 80,
					      .replies_late = 80,
					      .home_moves = 4,
					      .daemon_partitions = 4};
	w->faults = faults;
	w->generation_ms = seed % 2 ? 0 : 4000;
	for (uint32_t i = 0; i < 60; i++) {
		uint32_t d = cs_rng_below (&w->rng, WORLD_DAEMONS);
		uint32_t key = cs_rng_below (&w->rng, 12);
		uint32_t body = cs_rng_below (&w->rng, 10) == 0;
		if (!w->daemons[d].paused) {
			uint32_t id = world_submit (w, d, key, body);
			if (world_draw (w, w->faults.caller_leaves)) {
				cs_claimant_caller_left (&w->daemons[d].claimant, id);
				w->submissions[id].has_caller_left = true;
			}
		}
		world_run (w, 10L * cs_rng_below (&w->rng, 30));
	}
	world_settle (w);
}
