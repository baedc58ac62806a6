package org.cornelspoke.state.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.codec.ChangeCodec;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
import org.cornelspoke.state.codec.EntityCodec;
import org.cornelspoke.state.codec.MessageReader;
import org.cornelspoke.state.codec.MessageWriter;
import org.cornelspoke.state.view.FleetView;
import org.junit.jupiter.api.Test;

/** Guards against routing that is replaced partially, twice or based on an outdated version. */
final class ReplaceRoutingTest {

  private final ConfigState state = new ConfigState();

  @Test
  void replacesRoutesAccountsAndKeysTogether() {
    state.apply(request("1", replace(0, 1, "a", "b")));

    ChangeResult result = state.apply(request("2", replace(1, 5, "b", "c")));

    assertThat(result).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(names(EntityKind.ROUTE)).containsExactly("b", "c");
    assertThat(names(EntityKind.ACCOUNT)).containsExactly("b", "c");
    assertThat(names(EntityKind.CLIENT_KEY)).containsExactly("b", "c");
    assertThat(state.routingDocument().orElseThrow().text()).isEqualTo("text 5");
  }

  @Test
  void unchangedEntitiesAreNotSentAgain() {
    state.apply(request("1", replace(0, 1, "a", "b")));
    Revision before = state.revision();
    state.apply(request("2", replace(1, 2, "a", "b", "c")));

    ConfigUpdate.Delta delta = (ConfigUpdate.Delta) state.updateFrom(before);

    assertThat(delta.live().stream().map(entity -> entity.entityId().name()).distinct().toList())
        .containsExactly("c");
  }

  @Test
  void secondChangeBasedOnTheSameVersionConflicts() {
    state.apply(request("1", replace(0, 1, "a")));

    assertThat(state.apply(request("2", replace(1, 2, "b"))))
        .isInstanceOf(ChangeResult.Accepted.class);
    assertThat(state.apply(request("3", replace(1, 2, "c"))))
        .isInstanceOf(ChangeResult.Conflict.class);
    assertThat(names(EntityKind.ROUTE)).containsExactly("b");
  }

  @Test
  void retryOfAcceptedChangeGetsTheRecordedResult() {
    ChangeResult first = state.apply(request("1", replace(0, 1, "a")));
    state.apply(request("2", replace(1, 2, "b")));

    assertThat(state.apply(request("1", replace(0, 1, "a")))).isEqualTo(first);
    assertThat(state.routingDocument().orElseThrow().version()).isEqualTo(2);
  }

  @Test
  void rejectsVersionThatIsNotAboveTheCurrentOne() {
    state.apply(request("1", replace(0, 7, "a")));

    assertThat(state.apply(request("2", replace(7, 7, "b"))))
        .isInstanceOf(ChangeResult.Rejected.class);
  }

  @Test
  void commandIsEqualAfterEncodingAndDecoding() {
    ControlCommand command = new ControlCommand.Change(request("1", replace(0, 1, "a", "b")));

    assertThat(CommandCodec.decode(CommandCodec.encode(command))).isEqualTo(command);
  }

  @Test
  void servicePoliciesAreReplacedWithTheRouting() {
    ServicePolicy before = new ServicePolicy(new ServiceName("s1"), 3_000, 9.1);
    ServicePolicy after = new ServicePolicy(new ServiceName("s2"), 4_000, 12);
    state.apply(request("1", replace(0, 1, List.of(before), "a")));
    Revision revision = state.revision();

    ChangeResult result = state.apply(request("2", replace(1, 2, List.of(after), "a")));

    assertThat(result).isInstanceOf(ChangeResult.Accepted.class);
    assertThat(names(EntityKind.SERVICE_POLICY)).containsExactly("s2");
    ConfigUpdate.Delta delta = (ConfigUpdate.Delta) state.updateFrom(revision);
    assertThat(delta.live()).contains(after);
    assertThat(delta.removed()).containsExactly(before.entityId());
    FleetView view = new FleetView(state.revision(), state.entities(), Map.of());
    assertThat(view.servicePolicy(new ServiceName("s2"))).hasValue(after);
    assertThat(view.servicePolicy(new ServiceName("s1"))).isEmpty();
  }

  @Test
  void commandWithServicePoliciesIsEqualAfterEncodingAndDecoding() {
    ServicePolicy policy = new ServicePolicy(new ServiceName("s1"), 3_000, 9.1);
    ControlCommand command =
        new ControlCommand.Change(request("1", replace(0, 1, List.of(policy), "a")));

    assertThat(CommandCodec.decode(CommandCodec.encode(command))).isEqualTo(command);
  }

  /** Guards against a change in a form that control VMs of the previous build reject. */
  @Test
  void changeWithoutServicePoliciesHasTheFormOfThePreviousBuild() {
    MessageWriter out = new MessageWriter();
    ChangeCodec.writeRequest(out, request("1", replace(0, 1, "a")));

    int changeSize =
        MessageReader.decode(
            out.toByteArray(),
            in -> {
              in.array(5);
              in.text();
              in.text();
              in.optional(in::number);
              in.number();
              int size = in.arraySize();
              in.integer();
              in.number();
              EntityCodec.read(in);
              for (int table = 0; table < 3; table++) {
                in.list(() -> EntityCodec.read(in));
              }
              return size;
            });
    assertThat(changeSize).isEqualTo(6);
  }

  private List<String> names(EntityKind kind) {
    return state.entities().stream()
        .map(ConfigEntity::entityId)
        .filter(id -> id.kind() == kind)
        .map(EntityId::name)
        .toList();
  }

  private static ConfigChange.ReplaceRouting replace(
      long base, long version, List<ServicePolicy> policies, String... names) {
    ConfigChange.ReplaceRouting change = replace(base, version, names);
    return new ConfigChange.ReplaceRouting(
        base, change.document(), change.routes(), change.accounts(), change.keys(), policies);
  }

  private static ConfigChange.ReplaceRouting replace(long base, long version, String... names) {
    return new ConfigChange.ReplaceRouting(
        base,
        new RoutingDocument(version, "text " + version),
        List.of(names).stream().map(ReplaceRoutingTest::route).toList(),
        List.of(names).stream().map(name -> new Account(new AccountId(name), 5, 5, 1)).toList(),
        List.of(names).stream()
            .map(name -> new ClientKey(new KeyId(name), new AccountId(name), "0".repeat(63) + name))
            .toList());
  }

  private static Route route(String name) {
    return new Route(
        new RouteId(name),
        name + ".example",
        Route.ANY_METHOD,
        "/" + name + "/",
        List.of(
            new WeightedService(new ServiceName("s1"), 9),
            new WeightedService(new ServiceName("s2"), 1)),
        TrafficClass.BULK,
        false,
        true,
        900,
        300,
        2);
  }

  private static ChangeRequest request(String id, ConfigChange change) {
    return new ChangeRequest(
        new RequestId("request-" + id), new OperatorId("op"), Optional.empty(), 1, change);
  }
}
