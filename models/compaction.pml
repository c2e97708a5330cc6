/* Compaction and checkpoints of the table store (src/store/tables, log), checked exhaustively by Spin. One key is put, erased
 * and written with deferred durability, while the oldest segments are compacted and a checkpoint is made. Crashes occur at any
 * point. After each restart the key must have its value after some commit that is no earlier than the last durable commit.
 *
 * Each -D removes one part of the protocol; Spin must then find that the key is lost or that an erased key reappears
 * (tests/models.cmake).
 *   NO_FLUSH_BEFORE_COMPACTION  a compaction step treats a record as dead that only a pending commit has overwritten
 *   NO_FLUSH_BEFORE_CHECKPOINT  a checkpoint step relies on the value of a pending commit
 *   ANY_COMPACTION_ORDER        any closed segment may be compacted, instead of the oldest one
 *   UNSYNCED_DELETES            a deleted segment may reappear after a crash while a later one stays deleted
 *   KEEP_STALE_ENTRIES          checkpoint entries are used although their segment was deleted
 *   REPLAY_BEFORE_CHECKPOINT    records before the position of the checkpoint overwrite its entries
 */
#define SEGMENTS 7
#define SLOTS 2
#ifndef MAX_COMMITS
#define MAX_COMMITS 4
#endif
#define MAX_CRASHES 2

/* on disk */
typedef segment { byte records[SLOTS] }  /* number of the commit; 0: no record */
segment segments[SEGMENTS];
bit exists[SEGMENTS];
byte open_segment, record_count;   /* the open segment and the number of its records */
bit checkpoint_exists;
byte checkpoint_segment, checkpoint_slot; /* position of the checkpoint in the log */
byte entry_commit, entry_segment;  /* entry of the checkpoint */
#ifdef UNSYNCED_DELETES
bit delete_unsynced[SEGMENTS];     /* the deletion of the segment may not be durable */
#endif

/* in memory */
byte value_commit, value_segment, value_slot; /* the commit that wrote the key's value (0: no value) and its position */
byte pending_commit;               /* a commit that is in memory only; 0: none */
byte compacted_segment = SEGMENTS, compacted_slot; /* SEGMENTS: no compaction is in progress */
/* The checkpoint in progress. checkpoint_phase: 0 none, 1 started, 2 entry captured. */
byte checkpoint_phase, new_checkpoint_segment, new_checkpoint_slot, new_entry_commit, new_entry_segment;

/* history, used by the assertions */
bit is_erase[8];
byte commits, durable_commit, crashes;

byte i, j, commit_number, oldest_segment;

inline append(commit) {
  if
  :: record_count == SLOTS -> open_segment++; record_count = 0; exists[open_segment] = 1
  :: else
  fi;
  segments[open_segment].records[record_count] = commit;
  if
  :: value_commit == commit -> value_segment = open_segment; value_slot = record_count
  :: else
  fi;
  record_count++
}

inline flush() {
  if
  :: pending_commit != 0 -> append(pending_commit); durable_commit = pending_commit; pending_commit = 0
  :: else
  fi
}

inline begin_commit() {
  commits++;
  if
  :: is_erase[commits] = 0
  :: is_erase[commits] = 1
  fi
}

inline find_oldest_segment() {
  oldest_segment = 0;
  do
  :: oldest_segment < open_segment && !exists[oldest_segment] -> oldest_segment++
  :: else -> break
  od
}

/* Loses the state in memory and recovers from disk: reads the checkpoint first, then replays the log. */
inline restart() {
  pending_commit = 0; compacted_segment = SEGMENTS; compacted_slot = 0; checkpoint_phase = 0;
#ifdef UNSYNCED_DELETES
  i = 0;
  do
  :: i == SEGMENTS -> break
  :: i < SEGMENTS ->
     if
     :: delete_unsynced[i] -> exists[i] = 1
     :: true
     fi;
     delete_unsynced[i] = 0;
     i++
  od;
#endif
  find_oldest_segment();
  value_commit = 0; value_segment = 0; value_slot = 0;
  if
  :: checkpoint_exists && entry_commit != 0 ->
#ifndef KEEP_STALE_ENTRIES
     if
     :: entry_segment >= oldest_segment -> value_commit = entry_commit; value_segment = entry_segment
     :: else
     fi
#else
     value_commit = entry_commit; value_segment = entry_segment
#endif
  :: else
  fi;
  i = oldest_segment;
  do
  :: i > open_segment -> break
  :: else ->
     j = 0;
     do
     :: j == SLOTS -> break
     :: else ->
        if
        :: exists[i] && segments[i].records[j] != 0 && (i < open_segment || j < record_count) &&
#ifndef REPLAY_BEFORE_CHECKPOINT
           (!checkpoint_exists || i > checkpoint_segment || (i == checkpoint_segment && j >= checkpoint_slot)) ->
#else
           (!checkpoint_exists || i != checkpoint_segment || j >= checkpoint_slot) ->
#endif
           commit_number = segments[i].records[j];
           if
           :: is_erase[commit_number] -> value_commit = 0
           :: else -> value_commit = commit_number; value_segment = i; value_slot = j
           fi
        :: else
        fi;
        j++
     od;
     i++
  od;
  /* The recovered value must be the value after a commit that is no earlier than the last durable commit. */
  if
  :: value_commit != 0 -> assert(value_commit >= durable_commit); durable_commit = value_commit
  :: else ->
     commit_number = durable_commit;
     do
     :: commit_number == 0 || is_erase[commit_number] -> break
     :: commit_number != 0 && !is_erase[commit_number] -> assert(commit_number < commits); commit_number++
     od;
     durable_commit = commit_number
  fi;
  /* A value recovered from the checkpoint has no slot: finds its record in its segment. */
  if
  :: value_commit != 0 ->
     j = 0;
     do
     :: j < SLOTS && segments[value_segment].records[j] != value_commit -> j++
     :: else -> break
     od;
     assert(j < SLOTS);
     value_slot = j
  :: else
  fi;
  open_segment++; record_count = 0; exists[open_segment] = 1;
  i = 0; j = 0; commit_number = 0; oldest_segment = 0
}

#define segments_available (open_segment < SEGMENTS - 2)

active proctype store() {
  exists[0] = 1;
  do
  :: atomic { commits < MAX_COMMITS && segments_available -> /* a durable commit */
       begin_commit();
       flush();
       if
       :: is_erase[commits] -> value_commit = 0
       :: else -> value_commit = commits
       fi;
       append(commits);
       durable_commit = commits
     }
  :: atomic { /* a commit with deferred durability */
       commits < MAX_COMMITS && segments_available && pending_commit == 0 ->
       begin_commit();
       pending_commit = commits;
       if
       :: is_erase[commits] -> value_commit = 0
       :: else -> value_commit = commits
       fi
     }
  :: atomic { /* a crash during a commit: its frame was written or not */
       commits < MAX_COMMITS && segments_available && crashes < MAX_CRASHES ->
       begin_commit();
       if
       :: if
          :: pending_commit != 0 -> append(pending_commit)
          :: else
          fi;
          append(commits)
       :: true
       fi;
       crashes++;
       restart()
     }
  :: atomic { segments_available && pending_commit != 0 -> flush() }
  :: atomic { segments_available && compacted_segment == SEGMENTS -> /* compaction of a segment starts */
       find_oldest_segment();
#ifdef ANY_COMPACTION_ORDER
       if
       :: oldest_segment + 1 < open_segment && exists[oldest_segment + 1] -> oldest_segment++
       :: true
       fi;
#endif
       if
       :: oldest_segment < open_segment -> compacted_segment = oldest_segment; compacted_slot = 0
       :: else
       fi;
       oldest_segment = 0
     }
  :: atomic { /* a compaction step: copies a record that is the key's current value */
       segments_available && compacted_segment < SEGMENTS && compacted_slot < SLOTS ->
#ifndef NO_FLUSH_BEFORE_COMPACTION
       flush();
#endif
       if
       :: value_commit != 0 && value_commit != pending_commit &&
          value_segment == compacted_segment && value_slot == compacted_slot -> append(value_commit)
       :: else
       fi;
       compacted_slot++
     }
  :: atomic { compacted_segment < SEGMENTS && compacted_slot == SLOTS -> /* the compacted segment is deleted */
       exists[compacted_segment] = 0;
#ifdef UNSYNCED_DELETES
       delete_unsynced[compacted_segment] = 1;
#endif
       compacted_segment = SEGMENTS; compacted_slot = 0
     }
  :: atomic { /* a checkpoint starts at the end of the log */
       segments_available && checkpoint_phase == 0 && !checkpoint_exists ->
       flush();
       checkpoint_phase = 1; new_checkpoint_segment = open_segment; new_checkpoint_slot = record_count
     }
  :: atomic { segments_available && checkpoint_phase == 1 ->
#ifndef NO_FLUSH_BEFORE_CHECKPOINT
       flush();
#endif
       checkpoint_phase = 2;
       if
       :: value_commit != 0 && value_commit != pending_commit ->
          new_entry_commit = value_commit; new_entry_segment = value_segment
       :: else -> new_entry_commit = 0; new_entry_segment = 0
       fi
     }
  :: atomic { checkpoint_phase == 2 ->
       checkpoint_phase = 0; checkpoint_exists = 1;
       checkpoint_segment = new_checkpoint_segment; checkpoint_slot = new_checkpoint_slot;
       entry_commit = new_entry_commit; entry_segment = new_entry_segment;
       new_checkpoint_segment = 0; new_checkpoint_slot = 0; new_entry_commit = 0; new_entry_segment = 0
     }
  :: atomic { crashes < MAX_CRASHES && segments_available -> crashes++; restart() }
  od
}
