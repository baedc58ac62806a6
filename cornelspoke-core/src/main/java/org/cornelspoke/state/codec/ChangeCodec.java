package org.cornelspoke.state.codec;

import java.util.List;
import org.cornelspoke.model.AccountId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.KeyId;
import org.cornelspoke.model.OperatorId;
import org.cornelspoke.model.PresetName;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.RouteId;
import org.cornelspoke.state.config.Account;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ChangeRequest;
import org.cornelspoke.state.config.ChangeResult;
import org.cornelspoke.state.config.ClientKey;
import org.cornelspoke.state.config.ConfigChange;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.Operator;
import org.cornelspoke.state.config.Preset;
import org.cornelspoke.state.config.Route;
import org.cornelspoke.state.config.RoutingDocument;
import org.cornelspoke.state.config.ServicePolicy;

/** Encodes and decodes change requests, their results and audit entries. Stateless. */
public final class ChangeCodec {

  private static final int CREATE_ACCOUNT = 1;
  private static final int SET_ACCOUNT = 2;
  private static final int DELETE_ACCOUNT = 3;
  private static final int GIVE_KEY = 4;
  private static final int WITHDRAW_KEY = 5;
  private static final int SET_ROUTE = 6;
  private static final int DELETE_ROUTE = 7;
  private static final int SET_PRESET = 8;
  private static final int USE_PRESET = 9;
  private static final int SET_OPERATOR = 10;
  private static final int DELETE_OPERATOR = 11;
  private static final int ROTATE_CONTEXT_SECRET = 12;
  private static final int REPLACE_ROUTING = 13;
  private static final int EVACUATE_DATA_CENTRE = 14;
  private static final int RESTORE_DATA_CENTRE = 15;

  /** Fields of a routing replacement that contains service policies. */
  private static final int POLICIES_SIZE = 7;

  private static final int ACCEPTED = 1;
  private static final int CONFLICT = 2;
  private static final int REJECTED = 3;

  private ChangeCodec() {}

  /** Writes a change request. */
  public static void writeRequest(MessageWriter out, ChangeRequest request) {
    out.array(5).text(request.requestId().value()).text(request.operator().value());
    out.optional(request.expectedRevision(), revision -> out.number(revision.number()));
    out.number(request.timestampMillis());
    writeChange(out, request.change());
  }

  /** Reads a change request. */
  public static ChangeRequest readRequest(MessageReader in) {
    in.array(5);
    return new ChangeRequest(
        new RequestId(in.text()),
        new OperatorId(in.text()),
        in.optional(() -> new Revision(in.number())),
        in.number(),
        readChange(in));
  }

  /** Writes a change result. */
  public static void writeResult(MessageWriter out, ChangeResult result) {
    if (result instanceof ChangeResult.Accepted accepted) {
      out.array(2).number(ACCEPTED).number(accepted.revision().number());
    } else if (result instanceof ChangeResult.Conflict conflict) {
      out.array(3).number(CONFLICT).number(conflict.current().number());
      out.optional(conflict.conflictingChange(), (AuditEntry entry) -> writeAudit(out, entry));
    } else if (result instanceof ChangeResult.Rejected rejected) {
      out.array(3).number(REJECTED).number(rejected.current().number()).text(rejected.rule());
    }
  }

  /** Reads a change result. */
  public static ChangeResult readResult(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    if (size != (type == ACCEPTED ? 2 : 3)) {
      throw new MalformedMessageException("change result has a wrong number of fields: " + size);
    }
    Revision revision = new Revision(in.number());
    return switch (type) {
      case ACCEPTED -> new ChangeResult.Accepted(revision);
      case CONFLICT -> new ChangeResult.Conflict(revision, in.optional(() -> readAudit(in)));
      case REJECTED -> new ChangeResult.Rejected(revision, in.text());
      default -> throw MessageReader.unknownType("change result", type);
    };
  }

  /** Writes an audit entry. */
  public static void writeAudit(MessageWriter out, AuditEntry entry) {
    out.array(10).number(entry.sequence()).number(entry.timestampMillis());
    out.text(entry.operator().value()).text(entry.requestId().value());
    out.number(entry.revision().number()).text(entry.outcome()).text(entry.action());
    EntityCodec.writeId(out, entry.entity());
    out.text(entry.before()).text(entry.after());
  }

  /** Reads an audit entry. */
  public static AuditEntry readAudit(MessageReader in) {
    in.array(10);
    return new AuditEntry(
        in.number(),
        in.number(),
        new OperatorId(in.text()),
        new RequestId(in.text()),
        new Revision(in.number()),
        in.text(),
        in.text(),
        EntityCodec.readId(in),
        in.text(),
        in.text());
  }

  private static void writeChange(MessageWriter out, ConfigChange change) {
    if (change instanceof ConfigChange.CreateAccount create) {
      writeEntityChange(out, CREATE_ACCOUNT, create.account());
    } else if (change instanceof ConfigChange.SetAccount set) {
      writeEntityChange(out, SET_ACCOUNT, set.account());
    } else if (change instanceof ConfigChange.DeleteAccount delete) {
      writeTextChange(out, DELETE_ACCOUNT, delete.account().value());
    } else if (change instanceof ConfigChange.GiveKey give) {
      writeEntityChange(out, GIVE_KEY, give.key());
    } else if (change instanceof ConfigChange.WithdrawKey withdraw) {
      writeTextChange(out, WITHDRAW_KEY, withdraw.key().value());
    } else if (change instanceof ConfigChange.SetRoute set) {
      writeEntityChange(out, SET_ROUTE, set.route());
    } else if (change instanceof ConfigChange.DeleteRoute delete) {
      writeTextChange(out, DELETE_ROUTE, delete.route().value());
    } else if (change instanceof ConfigChange.SetPreset set) {
      writeEntityChange(out, SET_PRESET, set.preset());
    } else if (change instanceof ConfigChange.UsePreset use) {
      writeTextChange(out, USE_PRESET, use.preset().value());
    } else if (change instanceof ConfigChange.SetOperator set) {
      writeEntityChange(out, SET_OPERATOR, set.operator());
    } else if (change instanceof ConfigChange.DeleteOperator delete) {
      writeTextChange(out, DELETE_OPERATOR, delete.operator().value());
    } else if (change instanceof ConfigChange.RotateContextSecret rotate) {
      writeTextChange(out, ROTATE_CONTEXT_SECRET, rotate.secretHex());
    } else if (change instanceof ConfigChange.EvacuateDataCentre evacuate) {
      writeTextChange(out, EVACUATE_DATA_CENTRE, evacuate.dataCentre().value());
    } else if (change instanceof ConfigChange.RestoreDataCentre restore) {
      writeTextChange(out, RESTORE_DATA_CENTRE, restore.dataCentre().value());
    } else if (change instanceof ConfigChange.ReplaceRouting replace) {
      // Without policies the form is that of earlier builds, which reject a further field.
      boolean hasPolicies = !replace.servicePolicies().isEmpty();
      out.array(hasPolicies ? POLICIES_SIZE : POLICIES_SIZE - 1);
      out.number(REPLACE_ROUTING).number(replace.baseVersion());
      EntityCodec.write(out, replace.document());
      out.list(replace.routes(), (Route route) -> EntityCodec.write(out, route));
      out.list(replace.accounts(), (Account account) -> EntityCodec.write(out, account));
      out.list(replace.keys(), (ClientKey key) -> EntityCodec.write(out, key));
      if (hasPolicies) {
        out.list(
            replace.servicePolicies(), (ServicePolicy policy) -> EntityCodec.write(out, policy));
      }
    }
  }

  private static ConfigChange readChange(MessageReader in) {
    int size = in.arraySize();
    int type = in.integer();
    boolean hasPolicies = type == REPLACE_ROUTING && size == POLICIES_SIZE;
    int expectedSize = type == REPLACE_ROUTING ? POLICIES_SIZE - 1 : 2;
    if (!hasPolicies && size != expectedSize) {
      throw new MalformedMessageException("change must have " + expectedSize + " fields: " + size);
    }
    return switch (type) {
      case CREATE_ACCOUNT -> new ConfigChange.CreateAccount(readEntity(in, Account.class));
      case SET_ACCOUNT -> new ConfigChange.SetAccount(readEntity(in, Account.class));
      case DELETE_ACCOUNT -> new ConfigChange.DeleteAccount(new AccountId(in.text()));
      case GIVE_KEY -> new ConfigChange.GiveKey(readEntity(in, ClientKey.class));
      case WITHDRAW_KEY -> new ConfigChange.WithdrawKey(new KeyId(in.text()));
      case SET_ROUTE -> new ConfigChange.SetRoute(readEntity(in, Route.class));
      case DELETE_ROUTE -> new ConfigChange.DeleteRoute(new RouteId(in.text()));
      case SET_PRESET -> new ConfigChange.SetPreset(readEntity(in, Preset.class));
      case USE_PRESET -> new ConfigChange.UsePreset(new PresetName(in.text()));
      case SET_OPERATOR -> new ConfigChange.SetOperator(readEntity(in, Operator.class));
      case DELETE_OPERATOR -> new ConfigChange.DeleteOperator(new OperatorId(in.text()));
      case ROTATE_CONTEXT_SECRET -> new ConfigChange.RotateContextSecret(in.text());
      case REPLACE_ROUTING ->
          new ConfigChange.ReplaceRouting(
              in.number(),
              readEntity(in, RoutingDocument.class),
              in.list(() -> readEntity(in, Route.class)),
              in.list(() -> readEntity(in, Account.class)),
              in.list(() -> readEntity(in, ClientKey.class)),
              hasPolicies ? in.list(() -> readEntity(in, ServicePolicy.class)) : List.of());
      case EVACUATE_DATA_CENTRE -> new ConfigChange.EvacuateDataCentre(new DataCentreId(in.text()));
      case RESTORE_DATA_CENTRE -> new ConfigChange.RestoreDataCentre(new DataCentreId(in.text()));
      default -> throw MessageReader.unknownType("change", type);
    };
  }

  private static void writeEntityChange(MessageWriter out, int type, ConfigEntity entity) {
    out.array(2).number(type);
    EntityCodec.write(out, entity);
  }

  private static void writeTextChange(MessageWriter out, int type, String value) {
    out.array(2).number(type).text(value);
  }

  private static <T extends ConfigEntity> T readEntity(MessageReader in, Class<T> type) {
    ConfigEntity entity = EntityCodec.read(in);
    if (!type.isInstance(entity)) {
      throw new MalformedMessageException(
          "entity must be " + type.getSimpleName() + ": " + entity.entityId());
    }
    return type.cast(entity);
  }
}
