package org.cornelspoke.daemon.admin;

import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.util.Assert;

/** Reads configuration entities from request bodies. */
final class ConfigChanges {

  private ConfigChanges() {}

  static Account newAccount(JsonBody body) throws ApiException {
    return account(body.id("id", AccountId::new), body);
  }

  static Account account(AccountId id, JsonBody body) throws ApiException {
    return new Account(
        id, body.number("rateTokensPerSecond"), body.number("burstTokens"), weight(body));
  }

  static ClientKey key(AccountId account, JsonBody body) throws ApiException {
    return new ClientKey(
        body.id("id", KeyId::new), account, body.id("keyHashHex", ConfigChanges::hash));
  }

  static Operator operator(OperatorId id, JsonBody body) throws ApiException {
    return new Operator(id, body.id("tokenHashHex", ConfigChanges::hash));
  }

  static Route route(RouteId id, JsonBody body) throws ApiException {
    return new Route(
        id,
        body.text("method"),
        body.text("pathPrefix"),
        body.id("service", ServiceName::new),
        body.choice("trafficClass", TrafficClass.class),
        body.flag("open"),
        body.flag("repeatable"),
        body.integer("timeoutMillis"));
  }

  static Preset preset(PresetName name, JsonBody body) throws ApiException {
    JsonBody classes = body.object("classes");
    Map<TrafficClass, ClassPolicy> policies = new EnumMap<>(TrafficClass.class);
    for (TrafficClass trafficClass : TrafficClass.values()) {
      JsonBody policy = classes.object(trafficClass.name());
      policies.put(
          trafficClass,
          new ClassPolicy(
              policy.number("slotShare"),
              policy.smallInteger("queueLimit"),
              policy.integer("queueTimeoutMillis"),
              policy.flag("refused")));
      policy.refuseUnknownFields();
    }
    classes.refuseUnknownFields();
    return new Preset(
        name,
        body.smallInteger("retryBudget"),
        body.number("retryRatio"),
        body.integer("newestFirstAfterMillis"),
        policies);
  }

  private static int weight(JsonBody body) throws ApiException {
    return body.smallInteger("weight", 1);
  }

  private static String hash(String text) {
    // The message must not repeat the text: a client may have sent the key or token itself.
    Assert.isTrue(
        text.matches("[0-9a-f]{64}"), "must be a SHA-256 hash in 64 lower-case hexadecimal digits");
    return text;
  }
}
