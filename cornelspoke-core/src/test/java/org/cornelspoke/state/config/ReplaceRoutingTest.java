package org.cornelspoke.state.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.codec.CommandCodec;
import org.cornelspoke.state.codec.ControlCommand;
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

  private List<String> names(EntityKind kind) {
    return state.entities().stream()
        .map(ConfigEntity::entityId)
        .filter(id -> id.kind() == kind)
        .map(EntityId::name)
        .toList();
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
