package org.cornelspoke.state.config;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.util.Assert;

/**
 * The versioned configuration, its audit trail and the recorded results of request ids.
 * Deterministic: equal sequences of requests produce equal states and results, and time is taken
 * from the requests only.
 *
 * <p>The initial state has revision 1 and contains the built-in presets, of which {@code ordinary}
 * is active. Not thread-safe; confined to the control thread.
 */
public final class ConfigState {

  /** Outcome of an audit entry for a change that created a revision. */
  public static final String ACCEPTED = "accepted";

  /** Outcome of an audit entry for a change based on a revision or version that is not current. */
  public static final String CONFLICT = "conflict";

  /** Outcome of an audit entry for a change that violated a rule. */
  public static final String REJECTED = "rejected";

  /** Revision of the initial state. */
  public static final Revision INITIAL = Revision.NONE.next();

  private final EntityStore entities = new EntityStore();
  private final ChangePlanner planner = new ChangePlanner(entities);
  private final RecordedResults recordedResults = new RecordedResults();
  private final AuditTrail audit = new AuditTrail();
  private Revision revision = INITIAL;
  private long timestampMillis;

  /** Creates the initial state. */
  public ConfigState() {
    BuiltInPresets.all().forEach(preset -> entities.put(INITIAL, preset));
    entities.put(INITIAL, new ActivePreset(BuiltInPresets.ORDINARY));
  }

  /** Applies a change, or returns the recorded result if the request id was applied before. */
  public ChangeResult apply(ChangeRequest request) {
    Assert.notNull(request, "request");
    timestampMillis = Math.max(timestampMillis, request.timestampMillis());
    String digest = EntityText.digest(request.operator(), request.change());
    Optional<RecordedResult> recorded = recordedResults.find(request.requestId());
    if (recorded.isPresent()) {
      return recorded.get().changeDigest().equals(digest)
          ? recorded.get().result()
          : new ChangeResult.Rejected(revision, "the request id was used for another change");
    }
    ChangeResult result = evaluate(request);
    recordedResults.add(new RecordedResult(request.requestId(), digest, timestampMillis, result));
    return result;
  }

  /** Returns the current revision. */
  public Revision revision() {
    return revision;
  }

  /** Returns the entity, or empty if it does not exist. */
  public Optional<ConfigEntity> entity(EntityId id) {
    return entities.get(id);
  }

  /** Returns all live entities in order of their last change, including secrets and hashes. */
  public List<ConfigEntity> entities() {
    return entities.live(entity -> true);
  }

  /** Returns all entities and tombstones with their revisions, in order of the last change. */
  public List<VersionedEntity> versionedEntities() {
    return entities.entriesFrom(0);
  }

  /** Returns the sequence number of the latest audit entry, 0 if there is none. */
  public long auditSequence() {
    return audit.sequence();
  }

  /** Returns the document of the latest routing replacement, if there was one. */
  public Optional<RoutingDocument> routingDocument() {
    return entities.get(RoutingDocument.ID).map(RoutingDocument.class::cast);
  }

  /** Returns the evacuations in force, in the order in which they were ordered. */
  public List<DataCentreEvacuation> evacuations() {
    return entities.live(EntityKind.DATA_CENTRE_EVACUATION).stream()
        .map(DataCentreEvacuation.class::cast)
        .toList();
  }

  /** Returns the name of the active preset. */
  public PresetName activePreset() {
    return ((ActivePreset) entities.get(ActivePreset.ID).orElseThrow()).name();
  }

  /** Returns the audit entries after a sequence number, oldest first. */
  public List<AuditEntry> audit(long afterSequence, int limit) {
    Assert.isTrue(limit >= 0, "limit must be 0 or more");
    return audit.entriesAfter(afterSequence, limit);
  }

  /**
   * Returns the update for a traffic daemon whose configuration is at the given revision: a delta,
   * or the full configuration if the daemon has none or tombstones after its revision were evicted.
   */
  public ConfigUpdate updateFrom(Revision from) {
    Assert.isTrue(!from.isAfter(revision), "from must not be after the current revision");
    if (!from.equals(Revision.NONE)) {
      Optional<ConfigUpdate.Delta> delta = entities.delta(from, revision);
      if (delta.isPresent()) {
        return filterForTrafficDaemons(delta.get());
      }
    }
    return new ConfigUpdate.Full(
        revision, entities.live(entity -> entity.entityId().kind().isSentToTrafficDaemons()));
  }

  /** Returns the complete state. */
  public ConfigStateSnapshot snapshot() {
    return new ConfigStateSnapshot(
        revision,
        entities.tombstoneFloor(),
        entities.entriesFrom(0),
        recordedResults.all(),
        audit.entries(),
        audit.sequence(),
        timestampMillis);
  }

  /**
   * Replaces the complete state.
   *
   * @throws IllegalArgumentException if the snapshot has no active preset
   */
  public void restore(ConfigStateSnapshot snapshot) {
    EntityStore validated = new EntityStore();
    validated.restore(snapshot.entities(), snapshot.tombstoneFloor());
    Assert.isTrue(
        validated.get(ActivePreset.ID).isPresent(), "the snapshot must have an active preset");
    entities.restore(snapshot.entities(), snapshot.tombstoneFloor());
    recordedResults.restore(snapshot.recordedResults());
    audit.restore(snapshot.audit(), snapshot.auditSequence());
    revision = snapshot.revision();
    timestampMillis = snapshot.timestampMillis();
  }

  private ChangeResult evaluate(ChangeRequest request) {
    ChangePlan plan = planner.plan(request);
    Optional<Revision> expected = request.expectedRevision();
    if (plan.conflict() || (expected.isPresent() && !expected.get().equals(revision))) {
      Optional<AuditEntry> conflictingChange = audit.lastAccepted();
      addAuditEntry(request, plan, CONFLICT, auditText(plan.entity()), plannedAuditText(plan));
      return new ChangeResult.Conflict(revision, conflictingChange);
    }
    if (plan.rule().isPresent()) {
      addAuditEntry(request, plan, REJECTED, auditText(plan.entity()), "");
      return new ChangeResult.Rejected(revision, plan.rule().get());
    }
    String before = auditText(plan.entity());
    revision = revision.next();
    plan.removed().forEach(id -> entities.remove(revision, id));
    plan.put().forEach(entity -> entities.put(revision, entity));
    addAuditEntry(request, plan, ACCEPTED, before, auditText(plan.entity()));
    return new ChangeResult.Accepted(revision);
  }

  private void addAuditEntry(
      ChangeRequest request, ChangePlan plan, String outcome, String before, String after) {
    audit.add(
        new AuditEntry(
            audit.nextSequence(),
            request.timestampMillis(),
            request.operator(),
            request.requestId(),
            revision,
            outcome,
            request.change().getClass().getSimpleName(),
            plan.entity(),
            before,
            after));
  }

  private String auditText(EntityId id) {
    return entities.get(id).map(EntityText::forAudit).orElse("");
  }

  private static String plannedAuditText(ChangePlan plan) {
    return plan.put().isEmpty() ? "" : EntityText.forAudit(plan.put().get(0));
  }

  private static ConfigUpdate.Delta filterForTrafficDaemons(ConfigUpdate.Delta delta) {
    return new ConfigUpdate.Delta(
        delta.from(),
        delta.to(),
        delta.live().stream()
            .filter(entity -> entity.entityId().kind().isSentToTrafficDaemons())
            .toList(),
        delta.removed().stream().filter(id -> id.kind().isSentToTrafficDaemons()).toList());
  }
}
