package org.cornelspoke.state.config;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.Revision;
import org.cornelspoke.util.Assert;

/**
 * The versioned configuration, its audit trail and the first answers to request ids. The same
 * requests in the same order give the same state and answers; time comes from the requests only.
 *
 * <p>Starts at revision 1 with the built-in presets, of which {@code ordinary} is in force. Not
 * safe for use by several threads; the control thread owns it.
 */
public final class ConfigState {

  /** Outcome of an audit entry for a change that made a revision. */
  public static final String ACCEPTED = "accepted";

  /** Outcome of an audit entry for a change that was based on another revision. */
  public static final String CONFLICT = "conflict";

  /** Outcome of an audit entry for a change that broke a rule. */
  public static final String REJECTED = "rejected";

  /** The revision of a state to which no change has been applied. */
  public static final Revision INITIAL = Revision.NONE.next();

  private final EntityStore entities = new EntityStore();
  private final ChangePlanner planner = new ChangePlanner(entities);
  private final FirstAnswers answers = new FirstAnswers();
  private final AuditTrail audit = new AuditTrail();
  private Revision revision = INITIAL;
  private long timestampMillis;

  /** Creates the initial state. */
  public ConfigState() {
    BuiltInPresets.all().forEach(preset -> entities.put(INITIAL, preset));
    entities.put(INITIAL, new ActivePreset(BuiltInPresets.ORDINARY));
  }

  /** Applies a change, or returns the first answer if the request id was applied before. */
  public ChangeResult apply(ChangeRequest request) {
    Assert.notNull(request, "request");
    timestampMillis = Math.max(timestampMillis, request.timestampMillis());
    String digest = EntityText.digest(request.operator(), request.change());
    Optional<FirstAnswer> first = answers.find(request.requestId());
    if (first.isPresent()) {
      return first.get().changeDigest().equals(digest)
          ? first.get().result()
          : new ChangeResult.Rejected(revision, "the request id was used for another change");
    }
    ChangeResult result = decide(request);
    answers.add(new FirstAnswer(request.requestId(), digest, timestampMillis, result));
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

  /** Returns every live entity in order of its last change, secrets and hashes included. */
  public List<ConfigEntity> entities() {
    return entities.live(entity -> true);
  }

  /** Returns every entity and tombstone with its revision, in order of the last change. */
  public List<VersionedEntity> versionedEntities() {
    return entities.inOrder(0);
  }

  /** Returns the sequence number of the newest audit entry, 0 if there is none. */
  public long auditSequence() {
    return audit.sequence();
  }

  /** Returns the document that operators replaced the routing with last. */
  public Optional<RoutingDocument> routingDocument() {
    return entities.get(RoutingDocument.ID).map(RoutingDocument.class::cast);
  }

  /** Returns the name of the preset in force. */
  public PresetName activePreset() {
    return ((ActivePreset) entities.get(ActivePreset.ID).orElseThrow()).name();
  }

  /** Returns the audit entries after a sequence number, oldest first. */
  public List<AuditEntry> audit(long afterSequence, int limit) {
    Assert.isTrue(limit >= 0, "limit must be 0 or more");
    return audit.after(afterSequence, limit);
  }

  /**
   * Returns what a traffic daemon at a revision needs: a delta, or the full configuration if the
   * daemon has none or if tombstones after its revision were dropped.
   */
  public ConfigUpdate updateFrom(Revision from) {
    Assert.isTrue(!from.isAfter(revision), "from must not be after the current revision");
    if (!from.equals(Revision.NONE)) {
      Optional<ConfigUpdate.Delta> delta = entities.delta(from, revision);
      if (delta.isPresent()) {
        return forTrafficDaemons(delta.get());
      }
    }
    return new ConfigUpdate.Full(
        revision, entities.live(entity -> entity.entityId().kind().isSentToTrafficDaemons()));
  }

  /** Returns the whole state. */
  public ConfigImage image() {
    return new ConfigImage(
        revision,
        entities.tombstoneFloor(),
        entities.inOrder(0),
        answers.all(),
        audit.all(),
        audit.sequence(),
        timestampMillis);
  }

  /**
   * Replaces the whole state.
   *
   * @throws IllegalArgumentException if the image has no preset in force
   */
  public void restore(ConfigImage image) {
    EntityStore check = new EntityStore();
    check.restore(image.entities(), image.tombstoneFloor());
    Assert.isTrue(check.get(ActivePreset.ID).isPresent(), "the image must have a preset in force");
    entities.restore(image.entities(), image.tombstoneFloor());
    answers.restore(image.answers());
    audit.restore(image.audit(), image.auditSequence());
    revision = image.revision();
    timestampMillis = image.timestampMillis();
  }

  private ChangeResult decide(ChangeRequest request) {
    ChangePlan plan = planner.plan(request.operator(), request.change());
    Optional<Revision> expected = request.expectedRevision();
    if (plan.conflict() || (expected.isPresent() && !expected.get().equals(revision))) {
      Optional<AuditEntry> winner = audit.lastAccepted();
      record(request, plan, CONFLICT, text(plan.entity()), plannedText(plan));
      return new ChangeResult.Conflict(revision, winner);
    }
    if (plan.rule().isPresent()) {
      record(request, plan, REJECTED, text(plan.entity()), "");
      return new ChangeResult.Rejected(revision, plan.rule().get());
    }
    String before = text(plan.entity());
    revision = revision.next();
    plan.removed().forEach(id -> entities.remove(revision, id));
    plan.put().forEach(entity -> entities.put(revision, entity));
    record(request, plan, ACCEPTED, before, text(plan.entity()));
    return new ChangeResult.Accepted(revision);
  }

  private void record(
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

  private String text(EntityId id) {
    return entities.get(id).map(EntityText::forAudit).orElse("");
  }

  private static String plannedText(ChangePlan plan) {
    return plan.put().isEmpty() ? "" : EntityText.forAudit(plan.put().get(0));
  }

  private static ConfigUpdate.Delta forTrafficDaemons(ConfigUpdate.Delta delta) {
    return new ConfigUpdate.Delta(
        delta.from(),
        delta.to(),
        delta.live().stream().filter(e -> e.entityId().kind().isSentToTrafficDaemons()).toList(),
        delta.removed().stream().filter(id -> id.kind().isSentToTrafficDaemons()).toList());
  }
}
