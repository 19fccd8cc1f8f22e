/**
 * NAME
 *   member - membership among the daemons at constant cost
 *
 * DESCRIPTION
 *   Each daemon probes its successor in each of four hash orders of the members, so its messages do
 * not grow with the fleet and the probing edges form an expander over which facts spread in a
 * logarithmic number of periods (after Suresh et al., Rapid, ATC 2018). A missed probe is tried
 * through two others before the target is suspected; the suspect can refute with a higher version
 * (Das et al., SWIM, DSN 2002). A daemon that loses most of its own probes suspects nobody and
 * holds itself to be isolated. Nothing that must be safe rests on this view. Pure. Tested by
 * test/unit/test_member.c.
 */
#ifndef GS_MEMBER_H
#define GS_MEMBER_H

#include "base.h"

enum
{
  GS_MEMBER_LARGE_FLEET = 256,   /**< members from which the period is doubled */
  GS_MEMBER_RINGS = 4,           /**< hash orders, and so probes a period */
  GS_MEMBER_UPDATES_MAX = 12,    /**< facts that ride on one message */
  GS_MEMBER_DOMAIN_MAX = 31,     /**< bytes of a failure domain's name */
  GS_MEMBER_INDIRECT_PROBES = 2, /**< members asked to probe in one's place */
};

/** Time between two probes of a ring; twice as long in a large fleet, to keep the bytes within
 * budget. */
#define GS_MEMBER_PROBE_PERIOD_US (500 * GS_US_PER_MS)
#define GS_MEMBER_SUSPICION_US (3 * GS_US_PER_S)
#define GS_MEMBER_TOMBSTONE_US (300 * GS_US_PER_S)

typedef enum
{
  GS_MEMBER_ALIVE = 0,
  GS_MEMBER_LEAVING = 1, /**< serves what it has, is not named to callers */
  GS_MEMBER_SUSPECT = 2,
  GS_MEMBER_DEAD = 3,
} GsMemberState;

/** What is known of one daemon; travels between daemons. */
typedef struct
{
  char id[GS_NAME_MAX + 1];
  char failure_domain[GS_MEMBER_DOMAIN_MAX + 1];
  uint32_t ipv4;
  uint16_t entry_port;
  uint16_t peer_port;
  uint64_t incarnation; /**< grows with each start of the process */
  uint32_t version;     /**< grows with each refutation */
  uint8_t state;        /**< GsMemberState */
  uint8_t ready;        /**< 1 when it has the tables and may be named to callers */
  uint16_t power;       /**< share of a core that its instance gives it, in thousandths */
} GsMemberInfo;

/** Kinds of membership messages. */
typedef enum
{
  GS_MEMBER_MESSAGE_PING = 0,
  GS_MEMBER_MESSAGE_ACK = 1,
  GS_MEMBER_MESSAGE_PING_REQUEST = 2, /**< asks the receiver to ping `target` */
  GS_MEMBER_MESSAGE_PULL = 3,         /**< asks for all members */
  GS_MEMBER_MESSAGE_MEMBERS = 4,      /**< answer to a pull */
} GsMemberMessageKind;

/** A membership message; `facts` is owned by the holder of the message. */
typedef struct
{
  GsMemberMessageKind kind;
  uint64_t sequence;
  uint64_t digest;
  uint64_t position; /**< log position of the sender's tables */
  char target[GS_NAME_MAX + 1];
  GsMemberInfo from;
  GsMemberInfo *facts;
  uint32_t n_facts;
} GsMemberMessage;

/** Where a message goes. */
typedef struct
{
  uint32_t ipv4;
  uint16_t peer_port;
} GsPeerAddress;

/** Receives each message that membership wants sent; takes ownership of PROBE's facts. */
typedef void (*GsMemberMessageSink) (const GsPeerAddress *to,
                                     const GsMemberMessage *probe,
                                     void *data);

/** Construction options. */
typedef struct
{
  GsMemberInfo self;
  uint64_t seed;
  GsMemberMessageSink sink;
  void *data;
} GsMembersOptions;

typedef struct GsMembers GsMembers;

GsMembers *gs_members_new (const GsMembersOptions *options);
void gs_members_free (GsMembers *members);

/** Sends and judges probes whose time has come. */
void gs_members_tick (GsMembers *members, int64_t now_us);

/** Takes a message in. */
void gs_members_receive (GsMembers *members, const GsMemberMessage *probe, int64_t now_us);

/** Asks the daemon at ADDRESS for all members (start, or a hint of the platform's list). */
void gs_members_join (GsMembers *members, const GsPeerAddress *address);

/** Sets whether this daemon may be named to callers. */
void gs_members_set_ready (GsMembers *members, bool ready);

/** Announces that this daemon is leaving. */
void gs_members_leave (GsMembers *members);

/** Sets the log position that rides on messages. */
void gs_members_set_position (GsMembers *members, uint64_t position);

/** RETURN VALUE: the position and address of the most advanced daemon, of equals the one heard
 * last, since the first may be gone; 0 if none is ahead. */
uint64_t gs_members_best_position (const GsMembers *members, GsPeerAddress *address);

/** RETURN VALUE: true when there are members, but nothing was heard of any lately. */
bool gs_members_isolated (const GsMembers *members);

/** RETURN VALUE: a number that changes whenever a home set could change. */
uint64_t gs_members_epoch (const GsMembers *members);

/** RETURN VALUE: number of members known, dead ones included; self has index 0. */
uint32_t gs_members_count (const GsMembers *members);

/** RETURN VALUE: the fact of the member at INDEX. */
const GsMemberInfo *gs_members_get (const GsMembers *members, uint32_t index);

/** RETURN VALUE: the member with ID, or NULL. */
const GsMemberInfo *gs_members_find (const GsMembers *members, const char *id);

/** RETURN VALUE: true when this daemon's own probes of INDEX are answered or were never needed. */
bool gs_members_reachable (const GsMembers *members, uint32_t index);

/** Notes that a request forwarded to ID could not reach it (false) or did (true). */
void gs_members_record_path (GsMembers *members, const char *id, bool works, int64_t now_us);

/**
 * Picks the COUNT members with the highest rendezvous weight for KEY (Thaler and Ravishankar 1998),
 * at most one a failure domain until every domain has one. Only ready, alive members count, and
 * those with half of the power of the strongest go first: a home works for the whole fleet.
 *
 * RETURN VALUE: how many indexes were written to INDEXES.
 */
uint32_t
gs_members_homes (const GsMembers *members, uint64_t key, uint32_t count, uint32_t *indexes);

/** The same among members of any power. */
uint32_t gs_members_homes_any_cpu (const GsMembers *members,
                                   uint64_t key,
                                   uint32_t count,
                                   uint32_t *indexes);

/** RETURN VALUE: rank of this daemon for KEY among the alive members of its failure domain, strong
 * ones first. */
uint32_t gs_members_domain_rank (const GsMembers *members, uint64_t key);

enum
{
  GS_MEMBER_RELAYS = 2, /**< members to which a daemon passes on what concerns its failure domain */
};

/**
 * Fills INDEXES with the members of the own failure domain to which this daemon passes on what is
 * new to it: on the ring of the domain's names the next one, and one a square root of the domain's
 * size further. When each does so all are reached, and nobody sends more than GS_MEMBER_RELAYS
 * copies. RETURN VALUE: how many, at most GS_MEMBER_RELAYS.
 */
uint32_t gs_members_relays (const GsMembers *members, uint32_t *indexes);

#endif
