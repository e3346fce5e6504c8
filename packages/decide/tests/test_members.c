/* Membership: JOIN, EXCLUDE, superseding, claim shards, ranking and heartbeat targets. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cs/hash.h"
#include "cs/members.h"
#include "cs_test.h"

typedef struct {
	cs_members_t members;
	uint64_t offset; /* of the last record applied */
	uint32_t shards; /* claim shards of the next JOIN */
} members_t;

static void
join (members_t *d, uint64_t incarnation, const char *name, const char *zone)
{
	Cs__Join j = CS__JOIN__INIT;
	Cs__Record r = CS__RECORD__INIT;
	j.name = (char *)name;
	j.zone = (char *)zone;
	j.claim_shards = d->shards;
	r.incarnation = incarnation;
	r.body_case = CS__RECORD__BODY_JOIN;
	r.join = &j;
	cs_members_ops.apply (&d->members, ++d->offset, &r);
}

static void
members_init (members_t *d)
{
	cs_members_init (&d->members);
	d->offset = 0;
	d->shards = 4;
	join (d, 1, "d1", "z");
}

static void
test_members (void **state)
{
	members_t d;
	const cs_member_t *ranked[2];
	(void)state;
	members_init (&d);
	join (&d, 2, "d2", "y");
	join (&d, 3, "d3", "z");
	join (&d, 4, "d2", "y");
	assert_null (cs_members_get (&d.members, 2));
	assert_int_equal (cs_members_gone (&d.members, 2)->reason, CS_GONE_SUPERSEDED);
	assert_int_equal (cs_members_by_name (&d.members, cs_str ("d2"))->incarnation, 4);
	join (&d, 2, "d9", "y"); /* an incarnation can join only once */
	assert_null (cs_members_by_name (&d.members, cs_str ("d9")));
	assert_int_equal (cs_members_count (&d.members, "z"), 2);
	assert_int_equal (cs_members_rank (&d.members, 5, NULL, NULL, NULL, ranked, 2), 3);
	assert_int_equal (
		cs_members_rank_of (&d.members, ranked[0]->incarnation, 5, NULL, NULL, NULL), 0);
	assert_int_equal (
		cs_members_rank_of (&d.members, ranked[1]->incarnation, 5, NULL, NULL, NULL), 1);
	cs_members_finish (&d.members);
}

static cs_apply_result_t
exclude (members_t *d, uint64_t by, uint64_t target)
{
	Cs__Exclude x = CS__EXCLUDE__INIT;
	Cs__Record r = CS__RECORD__INIT;
	x.target = target;
	x.evidence = "silent";
	r.incarnation = by;
	r.body_case = CS__RECORD__BODY_EXCLUDE;
	r.exclude = &x;
	return cs_members_ops.apply (&d->members, ++d->offset, &r);
}

static void
test_exclude (void **state)
{
	members_t d;
	(void)state;
	members_init (&d);
	join (&d, 2, "d2", "z");
	assert_int_equal (exclude (&d, 9, 2), CS_APPLY_INVALID); /* by a non-member */
	assert_int_equal (exclude (&d, 2, 2), CS_APPLY_INVALID); /* of itself: needs LEAVE */
	assert_int_equal (exclude (&d, 1, 2), CS_APPLY_VALID);
	assert_int_equal (exclude (&d, 2, 1), CS_APPLY_INVALID); /* by an excluded daemon */
	assert_string_equal (cs_members_gone (&d.members, 2)->evidence, "silent");
	cs_members_finish (&d.members);
}

/* All members must have the same number of claim shards. */
static void
test_shards (void **state)
{
	static const struct {
		uint32_t shards;
		const char *name;
		bool second; /* d2 has joined besides d1 */
		bool joins;
	} cases[] = {
		{4, "d3", true, true},  {8, "d3", true, false}, {0, "d3", true, false},
		{8, "d1", true, false}, {8, "d1", false, true},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		members_t d;
		members_init (&d);
		if (cases[i].second)
			join (&d, 2, "d2", "z");
		d.shards = cases[i].shards;
		join (&d, 3, cases[i].name, "z");
		assert_int_equal (cs_members_get (&d.members, 3) != NULL, cases[i].joins);
		if (!cases[i].joins)
			assert_non_null (cs_members_get (&d.members, 1));
		cs_members_finish (&d.members);
	}
}

/* Heartbeats that daemons receive from other zones. All zones have the same size, except that z0
 * has a single daemon if `single` is set. */
static void
test_heartbeats_between_zones (void **state)
{
	static const struct {
		size_t zones, daemons;
		size_t receivers;  /* daemons per zone that receive from other zones */
		size_t heartbeats; /* from other zones to each receiver */
		size_t offers;     /* of these, with offers */
		bool single;
	} cases[] = {
		{1, 45, 0, 0, 0, false},
		{2, 20, 20, 20, 20, false},
		{2, 21, CS_MEMBERS_DELEGATES, 3, 1, false},
		{11, 30, CS_MEMBERS_DELEGATES, 30, 10, false},
		{11, 30, CS_MEMBERS_DELEGATES, 28, 10, true},
		{50, 2, 2, 98, 49, false},
	};
	(void)state;
	for (size_t i = 0; i < CS_ARRAY_LEN (cases); i++) {
		members_t d = {0};
		size_t n = cases[i].zones * cases[i].daemons;
		size_t receivers = 0;
		cs_members_init (&d.members);
		for (size_t k = 0; k < n; k++) {
			if (cases[i].single && k && k % cases[i].zones == 0)
				continue;
			char name[24];
			char zone[24];
			snprintf (name, sizeof name, "d%zu", k);
			snprintf (zone, sizeof zone, "z%zu", k % cases[i].zones);
			join (&d, k + 1, name, zone);
		}
		for (const cs_member_t *to = d.members.table; to; to = to->hh.next) {
			size_t received[CS_HEARTBEAT_WITH_OFFERS + 1] = {0};
			for (const cs_member_t *x = d.members.table; x; x = x->hh.next) {
				size_t rank = cs_members_rank_of (&d.members, x->incarnation,
								  cs_hash (cs_str (x->zone)),
								  x->zone, NULL, NULL);
				if (strcmp (x->zone, to->zone) != 0)
					received[cs_members_heartbeat_kind (&d.members, x->zone,
									    rank, to)]++;
			}
			size_t heartbeats =
				received[CS_HEARTBEAT_PLAIN] + received[CS_HEARTBEAT_WITH_OFFERS];
			if (cases[i].single && !strcmp (to->zone, "z0"))
				heartbeats = heartbeats ? cases[i].heartbeats : 0;
			receivers += heartbeats > 0;
			assert_int_equal (heartbeats, heartbeats ? cases[i].heartbeats : 0);
			assert_int_equal (received[CS_HEARTBEAT_WITH_OFFERS],
					  heartbeats ? cases[i].offers : 0);
		}
		assert_int_equal (receivers, cases[i].single + (cases[i].zones - cases[i].single) *
								       cases[i].receivers);
		cs_members_finish (&d.members);
	}
}

int
main (void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test (test_members),
		cmocka_unit_test (test_exclude),
		cmocka_unit_test (test_shards),
		cmocka_unit_test (test_heartbeats_between_zones),
	};
	return cmocka_run_group_tests (tests, NULL, NULL);
}
