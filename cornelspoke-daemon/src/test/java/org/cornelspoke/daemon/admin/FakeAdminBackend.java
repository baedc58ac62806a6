package org.cornelspoke.daemon.admin;

import io.activej.promise.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.cornelspoke.daemon.admin.AttachedDaemons.DaemonStatus;
import org.cornelspoke.daemon.admin.ConfigListing.VersionedEntity;
import org.cornelspoke.daemon.admin.GroupStatus.Member;
import org.cornelspoke.daemon.admin.GroupStatus.MemberRole;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.EntityKind;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.quarantine.QuarantineEntry;
import org.cornelspoke.state.quarantine.QuarantineTable;
import org.cornelspoke.state.registry.Target;

/**
 * In-memory backend for tests of the API and the command-line tool. Confined to the reactor thread.
 */
public final class FakeAdminBackend implements AdminBackend {

  /** Token of the operator that exists initially. */
  public static final String TOKEN = "test-token-of-the-first-operator";

  /** Attached daemons that the backend reports; set by tests. */
  public List<DaemonStatus> daemons = List.of();

  /** Relays that the backend reports as missing; set by tests. */
  public List<VmId> missingRelays = List.of();

  /** Requests that the backend reports; changed by tests. */
  public final QuarantineTable quarantine = new QuarantineTable();

  /** Targets that the backend reports; set by tests. */
  public List<Target> targets = List.of();

  /** If set, changes, configuration reads and linearizable operator lookups fail with it. */
  public Optional<BackendUnavailableException> unavailable = Optional.empty();

  public Optional<String> storageFailure = Optional.empty();

  /** If set, reading the attached daemons fails with this exception. */
  public Optional<BackendUnavailableException> daemonsUnavailable = Optional.empty();

  /** If true, changes are applied but their results are lost, as after a leader change. */
  public boolean dropResponses;

  /** Runs before each submitted change. */
  public Runnable beforeSubmit = () -> {};

  private final Map<String, VersionedEntity> entities = new TreeMap<>();
  private final Map<RequestId, ChangeResult> resultsByRequestId = new HashMap<>();
  private final List<AuditEntry> audit = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private Revision revision = Revision.NONE;

  /** Creates a single-member group with one operator and two presets. */
  public FakeAdminBackend() {
    put(new Operator(new OperatorId("admin"), OperatorTokens.hashHex(TOKEN)));
    put(preset("ordinary"));
    put(preset("peak"));
    put(new ActivePreset(new PresetName("ordinary")));
    members.add(member("control-1", MemberRole.LEADER));
  }

  /** Returns the audit trail. */
  public List<AuditEntry> auditTrail() {
    return audit;
  }

  /** Returns the current revision. */
  public Revision revision() {
    return revision;
  }

  @Override
  public Promise<ChangeResult> submit(ChangeRequest request) {
    beforeSubmit.run();
    if (unavailable.isPresent()) {
      return Promise.ofException(unavailable.get());
    }
    ChangeResult result = resultsByRequestId.get(request.requestId());
    if (result == null) {
      result = decide(request);
      resultsByRequestId.put(request.requestId(), result);
    }
    if (dropResponses) {
      return Promise.ofException(new BackendUnavailableException("leader changed", true, 1));
    }
    return Promise.of(result);
  }

  @Override
  public Promise<ConfigListing> readConfig() {
    return unavailable.isPresent()
        ? Promise.ofException(unavailable.get())
        : Promise.of(
            new ConfigListing(revision, revision.number(), List.copyOf(entities.values())));
  }

  @Override
  public Promise<Optional<OperatorId>> findOperator(String tokenHashHex, ReadMode mode) {
    if (mode == ReadMode.CURRENT && unavailable.isPresent()) {
      return Promise.ofException(unavailable.get());
    }
    List<Operator> operators =
        entities.values().stream()
            .filter(item -> item.entity() instanceof Operator)
            .map(item -> (Operator) item.entity())
            .toList();
    return Promise.of(OperatorTokens.find(operators, tokenHashHex));
  }

  @Override
  public Promise<List<AuditEntry>> auditEntries(OptionalLong fromSequence, int limit) {
    long first = fromSequence.orElse(Math.max(1, audit.size() - limit + 1));
    return Promise.of(
        audit.stream().filter(entry -> entry.sequence() >= first).limit(limit).toList());
  }

  @Override
  public Promise<List<Target>> targets() {
    return Promise.of(targets);
  }

  @Override
  public Promise<Boolean> isKnownDataCentre(DataCentreId dataCentre) {
    boolean known =
        targets.stream().anyMatch(target -> target.dataCentre().equals(dataCentre))
            || daemons.stream().anyMatch(daemon -> daemon.dataCentre().equals(dataCentre))
            || find(DataCentreEvacuation.idOf(dataCentre)).isPresent();
    return !known && unavailable.isPresent()
        ? Promise.ofException(unavailable.get())
        : Promise.of(known);
  }

  @Override
  public Promise<List<QuarantineEntry>> quarantine() {
    return unavailable.isPresent()
        ? Promise.ofException(unavailable.get())
        : Promise.of(List.copyOf(quarantine.entries()));
  }

  @Override
  public Promise<Boolean> release(RequestFingerprint fingerprint, OperatorId operator) {
    quarantine.release(fingerprint, operator, 1_000);
    return Promise.of(quarantine.entry(fingerprint).isPresent());
  }

  @Override
  public Promise<AttachedDaemons> attachedDaemons() {
    return daemonsUnavailable.isPresent()
        ? Promise.ofException(daemonsUnavailable.get())
        : Promise.of(new AttachedDaemons(daemons, missingRelays));
  }

  @Override
  public Promise<GroupStatus> groupStatus() {
    boolean quorum = unavailable.isEmpty();
    return Promise.of(
        new GroupStatus(
            new VmId("control-1"),
            quorum ? Optional.of(new VmId("control-1")) : Optional.empty(),
            quorum,
            3,
            revision.number(),
            revision,
            Optional.of(((ActivePreset) entities.get(ActivePreset.ID.toString()).entity()).name()),
            storageFailure,
            members));
  }

  @Override
  public Promise<MembershipResult> changeMembership(MembershipRequest request) {
    MembershipRequest.Change change = request.change();
    Optional<Member> known =
        members.stream().filter(item -> item.vmId().equals(change.vmId())).findFirst();
    if (change instanceof MembershipRequest.AddLearner && known.isEmpty()) {
      members.add(member(change.vmId().value(), MemberRole.LEARNER));
    } else if (known.isEmpty()) {
      return Promise.of(new MembershipResult.Refused("there is no member " + change.vmId()));
    } else if (change instanceof MembershipRequest.Promote) {
      members.set(members.indexOf(known.get()), member(change.vmId().value(), MemberRole.VOTER));
    } else if (members.size() == 1) {
      return Promise.of(new MembershipResult.Refused("the last voter can't be removed"));
    } else {
      members.remove(known.get());
    }
    return Promise.of(new MembershipResult.Committed(42));
  }

  private ChangeResult decide(ChangeRequest request) {
    if (request.expectedRevision().isPresent()
        && !request.expectedRevision().get().equals(revision)) {
      Optional<AuditEntry> conflictingChange =
          audit.stream().filter(entry -> entry.revision().equals(revision)).findFirst();
      record(request, "conflict", "", "");
      return new ChangeResult.Conflict(revision, conflictingChange);
    }
    try {
      apply(request);
      return new ChangeResult.Accepted(revision);
    } catch (IllegalArgumentException e) {
      return new ChangeResult.Rejected(revision, e.getMessage());
    }
  }

  private void apply(ChangeRequest request) {
    ConfigChange change = request.change();
    if (change instanceof ConfigChange.CreateAccount create) {
      check(find(create.account().entityId()).isEmpty(), "account exists");
      replace(request, create.account());
    } else if (change instanceof ConfigChange.SetAccount set) {
      check(find(set.account().entityId()).isPresent(), "there is no such account");
      replace(request, set.account());
    } else if (change instanceof ConfigChange.DeleteAccount delete) {
      remove(request, new EntityId(EntityKind.ACCOUNT, delete.account().value()));
      entities
          .values()
          .removeIf(
              item ->
                  item.entity() instanceof ClientKey key && key.account().equals(delete.account()));
    } else if (change instanceof ConfigChange.GiveKey give) {
      EntityId account = new EntityId(EntityKind.ACCOUNT, give.key().account().value());
      check(find(account).isPresent(), "there is no such account");
      check(find(give.key().entityId()).isEmpty(), "the key id is taken");
      replace(request, give.key());
    } else if (change instanceof ConfigChange.WithdrawKey withdraw) {
      remove(request, new EntityId(EntityKind.CLIENT_KEY, withdraw.key().value()));
    } else if (change instanceof ConfigChange.SetRoute set) {
      replace(request, set.route());
    } else if (change instanceof ConfigChange.DeleteRoute delete) {
      remove(request, new EntityId(EntityKind.ROUTE, delete.route().value()));
    } else if (change instanceof ConfigChange.SetPreset set) {
      replace(request, set.preset());
    } else if (change instanceof ConfigChange.UsePreset use) {
      check(
          find(new EntityId(EntityKind.PRESET, use.preset().value())).isPresent(),
          "there is no preset " + use.preset());
      replace(request, new ActivePreset(use.preset()));
    } else if (change instanceof ConfigChange.SetOperator set) {
      replace(request, set.operator());
    } else if (change instanceof ConfigChange.DeleteOperator delete) {
      check(
          entities.values().stream().filter(item -> item.entity() instanceof Operator).count() > 1,
          "the last operator can't be deleted");
      remove(request, new EntityId(EntityKind.OPERATOR, delete.operator().value()));
    } else if (change instanceof ConfigChange.EvacuateDataCentre evacuate) {
      EntityId id = DataCentreEvacuation.idOf(evacuate.dataCentre());
      replace(
          request,
          find(id)
              .orElseGet(
                  () ->
                      new DataCentreEvacuation(evacuate.dataCentre(), request.timestampMillis())));
    } else if (change instanceof ConfigChange.RestoreDataCentre restore) {
      EntityId id = DataCentreEvacuation.idOf(restore.dataCentre());
      if (find(id).isPresent()) {
        remove(request, id);
      } else {
        revision = revision.next();
        record(request, "accepted", "", "");
      }
    }
  }

  private void replace(ChangeRequest request, ConfigEntity entity) {
    String before = find(entity.entityId()).map(ConfigEntity::toString).orElse("");
    put(entity);
    record(request, "accepted", before, entity.toString());
  }

  private void remove(ChangeRequest request, EntityId id) {
    check(find(id).isPresent(), "there is no " + id);
    String before = entities.remove(id.toString()).entity().toString();
    revision = revision.next();
    record(request, "accepted", before, "");
  }

  private void record(ChangeRequest request, String outcome, String before, String after) {
    audit.add(
        new AuditEntry(
            audit.size() + 1,
            request.timestampMillis(),
            request.operator(),
            request.requestId(),
            revision,
            outcome,
            request.change().getClass().getSimpleName(),
            new EntityId(EntityKind.ACCOUNT, "any"),
            before,
            after));
  }

  private Optional<ConfigEntity> find(EntityId id) {
    return Optional.ofNullable(entities.get(id.toString())).map(VersionedEntity::entity);
  }

  private void put(ConfigEntity entity) {
    revision = revision.next();
    entities.put(entity.entityId().toString(), new VersionedEntity(revision, entity));
  }

  private static void check(boolean condition, String rule) {
    if (!condition) {
      throw new IllegalArgumentException(rule);
    }
  }

  private static Member member(String vmId, MemberRole role) {
    return new Member(new VmId(vmId), "identity-" + vmId, role, new Endpoint("127.0.0.1", 9002), 7);
  }

  private static Preset preset(String name) {
    ClassPolicy policy = new ClassPolicy(0.5, 100, 200, false);
    return new Preset(
        new PresetName(name),
        2,
        0.1,
        1_000,
        Map.of(
            TrafficClass.CRITICAL, policy,
            TrafficClass.INTERACTIVE, policy,
            TrafficClass.BULK, policy));
  }
}
