/**
 * NAME
 *   member - membership and failure detection among the daemons, at constant cost per daemon
 *
 * DESCRIPTION
 *   Each daemon probes its successor on each of four rings, which are hash orders of the members.
 * So the messages per daemon do not grow with the fleet, and the probing edges form an expander
 * over which updates spread in a logarithmic number of periods (after Suresh et al., Rapid, ATC
 * 2018). Before the target of an unanswered ping is suspected, two other members ping it; a suspect
 * refutes the suspicion with a higher version (Das et al., SWIM, DSN 2002). A daemon that receives
 * nothing considers itself isolated and suspects nobody. No safety property depends on this view.
 * Pure. Tested by test/unit/test_member.c.
 */
#ifndef GS_MEMBER_H
#define GS_MEMBER_H

#include "base.h"

enum
{
  GS_MEMBER_LARGE_FLEET = 256,   /**< members from which the probe period is doubled */
  GS_MEMBER_RINGS = 4,           /**< hash orders; one probe per ring and period */
  GS_MEMBER_UPDATES_MAX = 12,    /**< updates piggybacked on one message */
  GS_MEMBER_DOMAIN_MAX = 31,     /**< bytes of a failure domain's name */
  GS_MEMBER_INDIRECT_PROBES = 2, /**< members asked to ping an unresponsive one */
};

/** Time between two probes on a ring; doubled in a large fleet to bound the bytes sent. */
#define GS_MEMBER_PROBE_PERIOD_US (500 * GS_US_PER_MS)
#define GS_MEMBER_SUSPICION_US (3 * GS_US_PER_S)
#define GS_MEMBER_TOMBSTONE_US (300 * GS_US_PER_S)

typedef enum
{
  GS_MEMBER_ALIVE = 0,
  GS_MEMBER_LEAVING = 1, /**< finishes its requests; not in address lookups */
  GS_MEMBER_SUSPECT = 2,
  GS_MEMBER_DEAD = 3,
} GsMemberState;

/** State of one daemon, as sent between daemons. */
typedef struct
{
  char id[GS_NAME_MAX + 1];
  char failure_domain[GS_MEMBER_DOMAIN_MAX + 1];
  uint32_t ipv4;
  uint16_t entry_port;
  uint16_t peer_port;
  uint64_t incarnation; /**< increases with each start of the process */
  uint32_t version;     /**< increases with each change and refutation */
  uint8_t state;        /**< GsMemberState */
  uint8_t ready;        /**< 1: has the tables, may be in address lookups */
  uint8_t full;         /**< 1: has as many callers as it can take; not in address lookups */
  uint16_t millicores;  /**< CPU share that its instance gives it */
} GsMemberInfo;

typedef enum
{
  GS_MEMBER_MESSAGE_PING = 0,
  GS_MEMBER_MESSAGE_ACK = 1,
  GS_MEMBER_MESSAGE_PING_REQUEST = 2, /**< asks the receiver to ping `target` */
  GS_MEMBER_MESSAGE_PULL = 3,         /**< asks for the complete member list */
  GS_MEMBER_MESSAGE_MEMBERS = 4,      /**< answer to a pull */
  GS_MEMBER_MESSAGE_POSITION = 5,     /**< only states the sender's position */
} GsMemberMessageKind;

/** A membership message; `updates` is owned by the holder of the message. */
typedef struct
{
  GsMemberMessageKind kind;
  uint64_t sequence;
  uint64_t digest;
  uint64_t position; /**< log position of the sender's tables */
  char target[GS_NAME_MAX + 1];
  GsMemberInfo from;
  GsMemberInfo *updates;
  uint32_t n_updates;
} GsMemberMessage;

/** Address of a daemon's peer port. */
typedef struct
{
  uint32_t ipv4;
  uint16_t peer_port;
} GsPeerAddress;

/** Sends MESSAGE to the daemon at TO; takes ownership of its updates. */
typedef void (*GsMemberMessageHandler) (const GsPeerAddress *to,
                                        const GsMemberMessage *message,
                                        void *data);

/** Construction options. */
typedef struct
{
  GsMemberInfo self;
  uint64_t seed;
  GsMemberMessageHandler message_handler;
  void *data;
} GsMembersOptions;

typedef struct GsMembers GsMembers;

GsMembers *gs_members_new (const GsMembersOptions *options);
void gs_members_free (GsMembers *members);

/** Sends due probes and evaluates unanswered ones. */
void gs_members_tick (GsMembers *members, int64_t now_us);

/** Processes a received message. */
void gs_members_receive (GsMembers *members, const GsMemberMessage *message, int64_t now_us);

/** Pulls the members from the daemon at ADDRESS: a seed at the start, or an address from the
 * platform's list of instances. */
void gs_members_join (GsMembers *members, const GsPeerAddress *address);

/** Replaces the seeds by N_SEEDS others, of which this daemon may be one. Those that are no members
 * are asked for the members soon, and as long as this daemon runs. */
void gs_members_set_seeds (GsMembers *members, const GsPeerAddress *seeds, uint32_t n_seeds);

/** RETURN VALUE: the number of seeds, which are daemons that the fleet has or had. */
uint32_t gs_members_n_seeds (const GsMembers *members);

/** RETURN VALUE: true while this daemon has other daemons as seeds and has not heard from any other
 * one since its start: the fleet is then of any size. */
bool gs_members_expects_others (const GsMembers *members);

/** Sets whether address lookups may return this daemon. */
void gs_members_set_ready (GsMembers *members, bool ready);

/** Announces whether this daemon can take no more callers. */
void gs_members_set_full (GsMembers *members, bool full);

/** RETURN VALUE: whether address lookups may list the member at INDEX: it is alive, ready,
 * reachable and not full. */
bool gs_members_takes_callers (const GsMembers *members, uint32_t index);

/** Announces that this daemon is leaving. */
void gs_members_leave (GsMembers *members);

/** Sets the log position included in messages. */
void gs_members_set_position (GsMembers *members, uint64_t position);

/** States the log position to all members of this failure domain. Receivers do not pull from this
 * daemon because of it, which could not serve all at once. */
void gs_members_announce_position (GsMembers *members);

/** RETURN VALUE: the highest log position that a message of another daemon stated, with its
 * ADDRESS; 0 when none is ahead of this daemon. Of several daemons at that position the one heard
 * from last is returned, since the others may have stopped. */
uint64_t gs_members_newest_position (const GsMembers *members, GsPeerAddress *address);

/** RETURN VALUE: true when there are other members but no recent message from any of them. */
bool gs_members_isolated (const GsMembers *members);

/** RETURN VALUE: a number that changes whenever the homes of a pool may change. */
uint64_t gs_members_epoch (const GsMembers *members);

/** RETURN VALUE: number of known members, including dead ones; this daemon has index 0. */
uint32_t gs_members_count (const GsMembers *members);

const GsMemberInfo *gs_members_get (const GsMembers *members, uint32_t index);

/** RETURN VALUE: the member with ID, or NULL. */
const GsMemberInfo *gs_members_find (const GsMembers *members, const char *id);

/** RETURN VALUE: false when this daemon recently failed to reach the member at INDEX directly. */
bool gs_members_reachable (const GsMembers *members, uint32_t index);

/** Records whether this daemon just reached the member with ID. */
void gs_members_record_path (GsMembers *members, const char *id, bool works, int64_t now_us);

/**
 * Picks the COUNT members with the highest rendezvous weight for KEY (Thaler and Ravishankar 1998),
 * at most one per failure domain until every domain has one. Only ready, alive members are
 * eligible. Members with at least half of the largest CPU share are preferred, since a home works
 * for the complete fleet.
 *
 * RETURN VALUE: the number of indexes written to INDEXES.
 */
uint32_t
gs_members_homes (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes);

/** As gs_members_homes, among the members of the failure domain whose name has the hash DOMAIN. */
uint32_t gs_members_domain_homes (const GsMembers *members,
                                  uint64_t domain,
                                  uint64_t key,
                                  uint32_t count,
                                  uint32_t *indexes);

/** As gs_members_homes, without preference for a larger CPU share. */
uint32_t gs_members_homes_any_cpu (const GsMembers *members,
                                   uint64_t key,
                                   uint32_t count,
                                   uint32_t *indexes);

/** RETURN VALUE: rank of this daemon for KEY, from 0, among the alive members of its failure domain
 * by rendezvous weight; members with at least half of the largest CPU share come first. */
uint32_t gs_members_domain_rank (const GsMembers *members, uint64_t key);

/** RETURN VALUE: number of alive members in this daemon's failure domain, itself included. */
uint32_t gs_members_domain_size (const GsMembers *members);

/** RETURN VALUE: index of this daemon's failure domain among those of the members by name; N is
 * their number. */
uint32_t gs_members_domain_index (const GsMembers *members, uint32_t *n);

/** RETURN VALUE: whether MEMBER is in this daemon's failure domain and comes before it in the ranks
 * for KEY. */
bool gs_members_precedes (const GsMembers *members, const GsMemberInfo *member, uint64_t key);

/** RETURN VALUE: the member whose id has HASH, or NULL; itself included. */
const GsMemberInfo *gs_members_find_hash (const GsMembers *members, uint64_t hash);

/** RETURN VALUE: the member with this peer address, or NULL; itself included. */
const GsMemberInfo *gs_members_find_address (const GsMembers *members,
                                             const GsPeerAddress *address);

enum
{
  GS_MEMBER_RELAYS = 2, /**< members to which a daemon forwards updates in its failure domain */
};

/**
 * Fills INDEXES with the members of this failure domain to which this daemon forwards what is new
 * to it: the next one on the hash ring of the domain's members, and the one about sqrt(n) further
 * for n members. When every member does so all are reached, and none sends more than
 * GS_MEMBER_RELAYS copies.
 *
 * RETURN VALUE: their number, at most GS_MEMBER_RELAYS.
 */
uint32_t gs_members_relays (const GsMembers *members, uint32_t *indexes);

#endif
