package org.cornelspoke.state.config;

import java.util.List;
import org.cornelspoke.model.Revision;

/**
 * Complete state of a {@link ConfigState}, for snapshots and comparison.
 *
 * @param tombstoneFloor highest revision whose tombstone was evicted
 * @param entities in order of revision
 * @param recordedResults in order of application
 * @param audit in order of sequence number
 * @param auditSequence sequence number of the latest audit entry
 * @param timestampMillis latest request timestamp seen
 */
public record ConfigStateSnapshot(
    Revision revision,
    Revision tombstoneFloor,
    List<VersionedEntity> entities,
    List<RecordedResult> recordedResults,
    List<AuditEntry> audit,
    long auditSequence,
    long timestampMillis) {

  /** Copies the lists. */
  public ConfigStateSnapshot {
    entities = List.copyOf(entities);
    recordedResults = List.copyOf(recordedResults);
    audit = List.copyOf(audit);
  }
}
