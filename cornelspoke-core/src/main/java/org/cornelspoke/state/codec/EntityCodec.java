package org.cornelspoke.state.codec;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TrafficClass;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.ActivePreset;
import org.cornelspoke.state.config.ClassPolicy;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ContextSecret;
import org.cornelspoke.state.config.DataCentreEvacuation;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.config.EntityKind;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.RoutingDocument;
import org.cornelspoke.state.config.ServicePolicy;
import org.cornelspoke.state.config.WeightedService;

/** Encodes and decodes configuration entities as {@code [kind code, fields...]}. Stateless. */
public final class EntityCodec {

  private EntityCodec() {}

  /** Writes an entity. */
  public static void write(MessageWriter out, ConfigEntity entity) {
    int code = entity.entityId().kind().code();
    if (entity instanceof Account account) {
      out.array(5).number(code).text(account.id().value());
      out.real(account.rateTokensPerSecond()).real(account.burstTokens()).number(account.weight());
    } else if (entity instanceof ClientKey key) {
      out.array(4).number(code).text(key.id().value());
      out.text(key.account().value()).text(key.keyHashHex());
    } else if (entity instanceof Route route) {
      writeRoute(out, code, route);
    } else if (entity instanceof Preset preset) {
      writePreset(out, code, preset);
    } else if (entity instanceof ActivePreset active) {
      out.array(2).number(code).text(active.name().value());
    } else if (entity instanceof ContextSecret secret) {
      out.array(3).number(code).number(secret.number()).text(secret.secretHex());
    } else if (entity instanceof Operator operator) {
      out.array(3).number(code).text(operator.id().value()).text(operator.tokenHashHex());
    } else if (entity instanceof RoutingDocument document) {
      out.array(3).number(code).number(document.version());
      out.bytes(document.text().getBytes(StandardCharsets.UTF_8));
    } else if (entity instanceof ServicePolicy policy) {
      out.array(4).number(code).text(policy.service().value());
      out.number(policy.coldStartMillis()).real(policy.coldRequestsPerSecond());
    } else if (entity instanceof DataCentreEvacuation evacuation) {
      out.array(3).number(code).text(evacuation.dataCentre().value());
      out.number(evacuation.startedAtMillis());
    }
  }

  /** Reads an entity. */
  public static ConfigEntity read(MessageReader in) {
    int size = in.arraySize();
    EntityKind kind = kindOfCode(in.integer());
    ConfigEntity entity =
        switch (kind) {
          case ACCOUNT -> new Account(new AccountId(in.text()), in.real(), in.real(), in.integer());
          case CLIENT_KEY ->
              new ClientKey(new KeyId(in.text()), new AccountId(in.text()), in.text());
          case ROUTE -> readRoute(in);
          case PRESET -> readPreset(in);
          case ACTIVE_PRESET -> new ActivePreset(new PresetName(in.text()));
          case CONTEXT_SECRET -> new ContextSecret(in.integer(), in.text());
          case OPERATOR -> new Operator(new OperatorId(in.text()), in.text());
          case ROUTING_DOCUMENT ->
              new RoutingDocument(in.number(), new String(in.bytes(), StandardCharsets.UTF_8));
          case SERVICE_POLICY ->
              new ServicePolicy(new ServiceName(in.text()), in.number(), in.real());
          case DATA_CENTRE_EVACUATION ->
              new DataCentreEvacuation(new DataCentreId(in.text()), in.number());
        };
    if (size != fieldCount(kind)) {
      throw new MalformedMessageException(kind + " must have " + fieldCount(kind) + " fields");
    }
    return entity;
  }

  /** Writes an entity id. */
  public static void writeId(MessageWriter out, EntityId id) {
    out.array(2).number(id.kind().code()).text(id.name());
  }

  /** Reads an entity id. */
  public static EntityId readId(MessageReader in) {
    in.array(2);
    return new EntityId(kindOfCode(in.integer()), in.text());
  }

  private static int fieldCount(EntityKind kind) {
    return switch (kind) {
      case ACCOUNT -> 5;
      case CLIENT_KEY, SERVICE_POLICY -> 4;
      case ROUTE -> 12;
      case PRESET -> 6;
      case ACTIVE_PRESET -> 2;
      case CONTEXT_SECRET, OPERATOR, ROUTING_DOCUMENT, DATA_CENTRE_EVACUATION -> 3;
    };
  }

  private static EntityKind kindOfCode(int code) {
    for (EntityKind kind : EntityKind.values()) {
      if (kind.code() == code) {
        return kind;
      }
    }
    throw MessageReader.unknownType("entity", code);
  }

  private static void writeRoute(MessageWriter out, int code, Route route) {
    out.array(12).number(code).text(route.id().value()).text(route.host()).text(route.method());
    out.text(route.pathPrefix());
    out.list(
        route.services(),
        (WeightedService service) ->
            out.array(2).text(service.service().value()).real(service.weight()));
    out.enumConstant(route.trafficClass(), TrafficClass.values())
        .flag(route.open())
        .flag(route.repeatable());
    out.number(route.timeoutMillis()).number(route.latencyObjectiveMillis());
    out.number(route.maxAttempts());
  }

  private static Route readRoute(MessageReader in) {
    return new Route(
        new RouteId(in.text()),
        in.text(),
        in.text(),
        in.text(),
        in.list(() -> readWeightedService(in)),
        in.enumConstant(TrafficClass.values()),
        in.flag(),
        in.flag(),
        in.number(),
        in.number(),
        in.integer());
  }

  private static WeightedService readWeightedService(MessageReader in) {
    in.array(2);
    return new WeightedService(new ServiceName(in.text()), in.real());
  }

  private static void writePreset(MessageWriter out, int code, Preset preset) {
    out.array(6).number(code).text(preset.name().value()).number(preset.retryBudget());
    out.real(preset.retryRatio()).number(preset.newestFirstAfterMillis());
    // Written in declaration order, because the iteration order of the map is not fixed and equal
    // states must have equal encodings.
    out.array(TrafficClass.values().length);
    for (TrafficClass trafficClass : TrafficClass.values()) {
      ClassPolicy policy = preset.policyOf(trafficClass);
      out.array(4).real(policy.slotShare()).number(policy.queueLimit());
      out.number(policy.queueTimeoutMillis()).flag(policy.refused());
    }
  }

  private static Preset readPreset(MessageReader in) {
    PresetName name = new PresetName(in.text());
    int retryBudget = in.integer();
    double retryRatio = in.real();
    long newestFirstAfterMillis = in.number();
    in.array(TrafficClass.values().length);
    Map<TrafficClass, ClassPolicy> classes = new EnumMap<>(TrafficClass.class);
    for (TrafficClass trafficClass : TrafficClass.values()) {
      in.array(4);
      classes.put(trafficClass, new ClassPolicy(in.real(), in.integer(), in.number(), in.flag()));
    }
    return new Preset(name, retryBudget, retryRatio, newestFirstAfterMillis, classes);
  }
}
