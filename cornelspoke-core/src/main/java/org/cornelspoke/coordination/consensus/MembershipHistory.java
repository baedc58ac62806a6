package org.cornelspoke.coordination.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cornelspoke.state.log.EntryKind;
import org.cornelspoke.state.log.LogEntry;

/** Memberships by the index of their log entry; the latest one, committed or not, is in force. */
final class MembershipHistory {

  private record Version(long index, Membership membership) {}

  private final Deque<Version> versions = new ArrayDeque<>();

  MembershipHistory(long baseIndex, Membership base) {
    versions.add(new Version(baseIndex, base));
  }

  Membership current() {
    return versions.getLast().membership();
  }

  /** Returns the index of the entry that holds the membership in force. */
  long currentIndex() {
    return versions.getLast().index();
  }

  Membership at(long index) {
    Membership result = versions.getFirst().membership();
    for (Version version : versions) {
      if (version.index() <= index) {
        result = version.membership();
      }
    }
    return result;
  }

  void onAppended(LogEntry entry) {
    if (entry.kind() == EntryKind.MEMBERSHIP) {
      versions.add(new Version(entry.index(), Membership.decode(entry.data())));
    }
  }

  void truncateFrom(long index) {
    while (versions.size() > 1 && versions.getLast().index() >= index) {
      versions.removeLast();
    }
  }

  /** Discards the versions that were replaced at or before the index of a snapshot. */
  void compactUpTo(long index) {
    while (versions.size() > 1) {
      Version first = versions.removeFirst();
      if (versions.getFirst().index() > index) {
        versions.addFirst(first);
        return;
      }
    }
  }

  void reset(long index, Membership membership) {
    versions.clear();
    versions.add(new Version(index, membership));
  }
}
