package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.Revision;

/**
 * The whole of a {@link ConfigState}, for snapshots and comparison.
 *
 * @param tombstoneFloor highest revision whose tombstone was dropped
 * @param entities in order of revision
 * @param answers in order of application
 * @param audit in order of sequence
 * @param auditSequence sequence number of the latest audit entry
 * @param timestampMillis latest request time seen
 */
public record ConfigImage(
    Revision revision,
    Revision tombstoneFloor,
    List<VersionedEntity> entities,
    List<FirstAnswer> answers,
    List<AuditEntry> audit,
    long auditSequence,
    long timestampMillis) {

  /** Copies the lists. */
  public ConfigImage {
    entities = List.copyOf(entities);
    answers = List.copyOf(answers);
    audit = List.copyOf(audit);
  }
}
