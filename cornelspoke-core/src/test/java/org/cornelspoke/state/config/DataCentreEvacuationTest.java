package org.cornelspoke.state.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.ControlResult;
import org.cornelspoke.state.machine.ControlStateMachine;
import org.cornelspoke.state.registry.Target;
import org.cornelspoke.state.registry.TargetState;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.Test;

/** Guards against evacuations that are lost, refused when resent, or reverted by other changes. */
final class DataCentreEvacuationTest {

  private static final DataCentreId A = new DataCentreId("a");
  private static final DataCentreId B = new DataCentreId("b");
  private static final ServiceName SERVICE = new ServiceName("svc");

  private final ControlStateMachine machine = new ControlStateMachine();
  private int index;

  @Test
  void repeatedOrdersAreAcceptedAndChangeNothing() {
    apply("1", 1_000, evacuate(A));
    List<DataCentreEvacuation> first = machine.config().evacuations();

    assertThat(apply("2", 9_000, evacuate(A))).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(machine.config().evacuations()).isEqualTo(first);
    assertThat(first).containsExactly(new DataCentreEvacuation(A, 1_000));
    assertThat(apply("3", 9_000, restore(B))).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(machine.config().evacuations()).isEqualTo(first);
    assertThat(apply("4", 9_000, restore(A))).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(apply("5", 9_000, restore(A))).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(machine.config().evacuations()).isEmpty();
  }

  @Test
  void eachOrderIsAudited() {
    apply("1", 1_000, evacuate(A));
    apply("2", 2_000, evacuate(A));
    apply("3", 3_000, restore(A));

    List<AuditEntry> audit = machine.config().audit(0, 10);

    assertThat(audit.stream().map(AuditEntry::action).toList())
        .containsExactly("EvacuateDataCentre", "EvacuateDataCentre", "RestoreDataCentre")
        .inOrder();
    assertThat(audit.stream().map(AuditEntry::entity).distinct().toList())
        .containsExactly(DataCentreEvacuation.idOf(A));
    assertThat(audit.get(2).before()).isEqualTo("startedAtMillis=1000");
    assertThat(audit.get(2).after()).isEmpty();
  }

  /** Guards against an order that is lost, or refused when resent, after a restart of all VMs. */
  @Test
  void orderSurvivesASnapshotAndIsAcceptedAgainAfterIt() {
    ChangeResult first = apply("1", 1_000, evacuate(A));
    byte[] snapshot = machine.snapshot();
    ControlStateMachine restarted = new ControlStateMachine();
    restarted.restore(snapshot);

    assertThat(restarted.config().evacuations())
        .containsExactly(new DataCentreEvacuation(A, 1_000));
    assertThat(apply(restarted, "1", 1_000, Optional.empty(), evacuate(A))).isEqualTo(first);
    assertThat(apply(restarted, "2", 2_000, Optional.empty(), evacuate(A)))
        .isInstanceOf(ChangeResult.Accepted.class);
    assertThat(restarted.config().evacuations())
        .containsExactly(new DataCentreEvacuation(A, 1_000));
  }

  @Test
  void replacedRoutingKeepsTheEvacuation() {
    apply("1", 1_000, evacuate(A));
    apply("2", 2_000, replaceRouting(0, 1));
    apply("3", 3_000, replaceRouting(1, 2));

    assertThat(machine.config().evacuations()).containsExactly(new DataCentreEvacuation(A, 1_000));
  }

  /** Guards against a configuration change that is refused because of a concurrent evacuation. */
  @Test
  void evacuationDoesNotConflictWithAConcurrentConfigurationChange() {
    apply("1", 1_000, replaceRouting(0, 1));
    apply("2", 2_000, evacuate(A));

    assertThat(apply("3", 3_000, replaceRouting(1, 2))).isInstanceOf(ChangeResult.Accepted.class);
  }

  /** Guards against two operators of whom one loses the order about another data centre. */
  @Test
  void ordersOfTwoOperatorsAreBothInForce() {
    apply("1", 1_000, evacuate(A));
    apply("2", 1_000, evacuate(B));
    apply("3", 1_000, evacuate(A));
    apply("4", 2_000, restore(B));

    assertThat(machine.config().evacuations()).containsExactly(new DataCentreEvacuation(A, 1_000));
  }

  /**
   * Guards against an order that was delayed in the group and takes effect after a later order,
   * also if the later one changed nothing.
   */
  @Test
  void delayedOrderDoesNotOverrideALaterOne() {
    Revision base = machine.config().revision();
    apply("later", 2_000, restore(A));

    assertThat(apply(machine, "delayed", 1_000, Optional.of(base), evacuate(A)))
        .isInstanceOf(ChangeResult.Conflict.class);
    assertThat(machine.config().evacuations()).isEmpty();
  }

  @Test
  void daemonsReceiveStartAndEnd() {
    Revision before = machine.config().revision();
    apply("1", 1_000, evacuate(A));
    ConfigUpdate.Delta start = (ConfigUpdate.Delta) machine.config().updateFrom(before);
    assertThat(start.live()).containsExactly(new DataCentreEvacuation(A, 1_000));
    ConfigUpdate.Full full = (ConfigUpdate.Full) machine.config().updateFrom(Revision.NONE);
    assertThat(full.live()).contains(new DataCentreEvacuation(A, 1_000));

    apply("2", 2_000, restore(A));
    ConfigUpdate.Delta end = (ConfigUpdate.Delta) machine.config().updateFrom(start.to());
    assertThat(end.removed()).containsExactly(DataCentreEvacuation.idOf(A));
  }

  /**
   * Guards against targets that stay selectable, and against services that vanish from the view.
   */
  @Test
  void viewLeavesOutTargetsInEvacuatedDataCentres() {
    Target inA = target("t-a", A);
    Target inB = target("t-b", B);
    Map<ServiceName, List<Target>> targets = Map.of(SERVICE, List.of(inA, inB));

    FleetView one = view(targets, A);
    assertThat(one.usableTargets()).containsExactly(SERVICE, List.of(inB));
    assertThat(one.targets(SERVICE)).containsExactly(inA, inB);
    assertThat(view(targets, A, B).usableTargets()).containsExactly(SERVICE, List.of());
    assertThat(view(targets).usableTargets()).isEqualTo(targets);
  }

  private static FleetView view(Map<ServiceName, List<Target>> targets, DataCentreId... evacuated) {
    List<DataCentreEvacuation> evacuations =
        List.of(evacuated).stream().map(id -> new DataCentreEvacuation(id, 1_000)).toList();
    return new FleetView(new Revision(2), evacuations, targets);
  }

  private static Target target(String id, DataCentreId dataCentre) {
    return new Target(
        new TargetId(id),
        SERVICE,
        new DaemonId(id),
        dataCentre,
        new Endpoint("10.0.0.1", 80),
        10,
        TargetState.UP);
  }

  private static ConfigChange evacuate(DataCentreId dataCentre) {
    return new ConfigChange.EvacuateDataCentre(dataCentre);
  }

  private static ConfigChange restore(DataCentreId dataCentre) {
    return new ConfigChange.RestoreDataCentre(dataCentre);
  }

  private static ConfigChange replaceRouting(long baseVersion, long version) {
    return new ConfigChange.ReplaceRouting(
        baseVersion, new RoutingDocument(version, "text"), List.of(), List.of(), List.of());
  }

  private ChangeResult apply(String id, long timestampMillis, ConfigChange change) {
    return apply(machine, id, timestampMillis, Optional.empty(), change);
  }

  /** Applies a change through the encoding of the replicated log. */
  private ChangeResult apply(
      ControlStateMachine target,
      String id,
      long timestampMillis,
      Optional<Revision> base,
      ConfigChange change) {
    ChangeRequest request =
        new ChangeRequest(
            new RequestId(id), new OperatorId("platform"), base, timestampMillis, change);
    byte[] command = CommandCodec.encode(new ControlCommand.Change(request));
    byte[] result = target.apply(++index, command);
    return ((ControlResult.Changed) CommandCodec.decodeResult(result)).result();
  }
}
