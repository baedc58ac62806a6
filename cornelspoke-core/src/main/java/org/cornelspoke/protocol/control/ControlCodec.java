package org.cornelspoke.protocol.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cornelspoke.coordination.dissemination.ControlMessage;
import org.cornelspoke.coordination.dissemination.DaemonStatus;
import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.DataCentreId;
import org.cornelspoke.model.Endpoint;
import org.cornelspoke.model.RequestFingerprint;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.model.VmId;
import org.cornelspoke.state.claim.StoredResponse;
import org.cornelspoke.state.codec.ClaimCodec;
import org.cornelspoke.state.codec.EntityCodec;
import org.cornelspoke.state.codec.MalformedMessageException;
import org.cornelspoke.state.codec.MessageReader;
import org.cornelspoke.state.codec.MessageWriter;
import org.cornelspoke.state.codec.QuarantineCodec;
import org.cornelspoke.state.codec.TargetCodec;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.EntityId;
import org.cornelspoke.state.quarantine.QuarantineState;
import org.cornelspoke.state.registry.Target;

/**
 * Encodes control messages as {@code [type, correlationId, fields...]}. The correlation id is 0 in
 * messages that expect no reply. Stateless and safe for use by any thread.
 */
public final class ControlCodec {

  private static final String MAGIC = "cornelspoke-control";
  private static final int PROTOCOL_VERSION = 1;

  /** Correlation id of {@link MessageType#RELAYS} from a relay that accepts crash reports. */
  private static final long ACCEPTS_REPORTS = 1;

  /** The same from a relay that also knows departed processes. */
  private static final long ACCEPTS_REPORTS_AND_DEPARTURES = 3;

  private ControlCodec() {}

  /** Encodes a message. */
  public static byte[] encode(ControlMessage message) {
    MessageWriter out = new MessageWriter();
    if (!writeSession(out, message)
        && !writeUpdate(out, message)
        && !writeQuarantine(out, message)) {
      writeClaim(out, message);
    }
    return out.toByteArray();
  }

  /**
   * Decodes a message.
   *
   * @throws MalformedMessageException if the bytes are not exactly one message of this version
   */
  public static ControlMessage decode(byte[] frame) {
    return MessageReader.decode(frame, ControlCodec::read);
  }

  private static MessageWriter writeHeader(
      MessageWriter out, MessageType type, long correlationId) {
    return out.array(type.fieldCount()).number(type.code()).number(correlationId);
  }

  private static boolean writeSession(MessageWriter out, ControlMessage message) {
    if (message instanceof ControlMessage.ControlHello hello) {
      writeHeader(out, MessageType.CONTROL_HELLO, 0).text(MAGIC).number(PROTOCOL_VERSION);
      out.text(hello.daemon().value()).text(hello.dataCentre().value());
      out.number(hello.appliedRevision().number());
    } else if (message instanceof ControlMessage.PeerHello hello) {
      writeHeader(out, MessageType.PEER_HELLO, 0).text(MAGIC).number(PROTOCOL_VERSION);
      out.text(hello.vm().value());
    } else if (message instanceof ControlMessage.FreshnessQuery query) {
      writeHeader(out, MessageType.FRESHNESS_QUERY, query.sequence());
      out.number(query.appliedRevision().number()).optional(query.ageNanos(), out::number);
    } else if (message instanceof ControlMessage.FreshnessReply reply) {
      writeHeader(out, MessageType.FRESHNESS_REPLY, reply.sequence());
      out.number(reply.revision().number()).optional(reply.ageNanos(), out::number);
    } else if (message instanceof ControlMessage.ShareEnvelope share) {
      writeHeader(out, MessageType.SHARE_ENVELOPE, 0).bytes(share.content());
    } else if (message instanceof ControlMessage.StatusQuery query) {
      writeHeader(out, MessageType.STATUS_QUERY, query.correlationId());
    } else if (message instanceof ControlMessage.StatusReply reply) {
      writeHeader(out, MessageType.STATUS_REPLY, reply.correlationId()).flag(reply.last());
      out.list(reply.daemons(), (DaemonStatus status) -> writeStatus(out, status));
    } else if (message instanceof ControlMessage.AttachmentReport report) {
      writeHeader(out, MessageType.ATTACHMENT_REPORT, 0);
      out.list(report.daemons(), (DaemonId daemon) -> out.text(daemon.value()));
    } else if (message instanceof ControlMessage.Relays relays) {
      long accepted = relays.acceptsCrashReports() ? ACCEPTS_REPORTS : 0;
      writeHeader(
          out,
          MessageType.RELAYS,
          relays.acceptsDepartures() ? ACCEPTS_REPORTS_AND_DEPARTURES : accepted);
      out.list(relays.endpoints(), (Endpoint endpoint) -> out.text(endpoint.toString()));
    } else {
      return false;
    }
    return true;
  }

  private static boolean writeUpdate(MessageWriter out, ControlMessage message) {
    if (message instanceof ControlMessage.Subscribe subscribe) {
      writeHeader(out, MessageType.SUBSCRIBE, 0).array(subscribe.versions().size());
      subscribe
          .versions()
          .forEach((service, version) -> out.array(2).text(service.value()).number(version));
    } else if (message instanceof ControlMessage.ConfigDelta delta) {
      writeHeader(out, MessageType.CONFIG_DELTA, 0).number(delta.from().number());
      out.number(delta.to().number()).flag(delta.last());
      out.list(delta.live(), (ConfigEntity entity) -> EntityCodec.write(out, entity));
      out.list(delta.removed(), (EntityId id) -> EntityCodec.writeId(out, id));
    } else if (message instanceof ControlMessage.ConfigSnapshot snapshot) {
      writeHeader(out, MessageType.CONFIG_SNAPSHOT, 0).number(snapshot.revision().number());
      out.flag(snapshot.first()).flag(snapshot.last());
      out.list(snapshot.live(), (ConfigEntity entity) -> EntityCodec.write(out, entity));
    } else if (message instanceof ControlMessage.RegistryDelta delta) {
      writeHeader(out, MessageType.REGISTRY_DELTA, 0).text(delta.service().value());
      out.number(delta.from()).number(delta.to()).flag(delta.full()).flag(delta.last());
      out.list(delta.live(), (Target target) -> TargetCodec.write(out, target));
      out.list(delta.removed(), (TargetId id) -> out.text(id.value()));
    } else if (message instanceof ControlMessage.Announce announce) {
      writeHeader(out, MessageType.ANNOUNCE, 0);
      out.list(announce.targets(), (Target target) -> TargetCodec.write(out, target));
    } else if (message instanceof ControlMessage.Withdraw withdraw) {
      writeHeader(out, MessageType.WITHDRAW, 0);
      out.list(withdraw.targets(), (TargetId id) -> out.text(id.value()));
    } else if (message instanceof ControlMessage.ProcessDeparted departed) {
      writeHeader(out, MessageType.PROCESS_DEPARTED, departed.correlationId());
      out.text(departed.process());
    } else if (message instanceof ControlMessage.DeparturesQuery) {
      writeHeader(out, MessageType.DEPARTURES_QUERY, 0);
    } else if (message instanceof ControlMessage.Departures departures) {
      writeHeader(out, MessageType.DEPARTURES, 0);
      out.list(departures.processes(), (String process) -> out.text(process));
    } else {
      return false;
    }
    return true;
  }

  private static boolean writeQuarantine(MessageWriter out, ControlMessage message) {
    if (message instanceof ControlMessage.QuarantineQuery query) {
      writeHeader(out, MessageType.QUARANTINE_QUERY, 0).number(query.version());
    } else if (message instanceof ControlMessage.QuarantineUpdate update) {
      writeHeader(out, MessageType.QUARANTINE_UPDATE, 0).number(update.to()).flag(update.full());
      out.list(
          update.entries(),
          (ControlMessage.QuarantineUpdate.Item item) -> {
            out.array(3).text(item.fingerprint().value()).number(item.headHash());
            out.enumConstant(item.state(), QuarantineState.values());
          });
    } else if (message instanceof ControlMessage.CrashObserved observed) {
      writeHeader(out, MessageType.CRASH_OBSERVED, observed.correlationId());
      QuarantineCodec.writeReport(out, observed.report());
    } else if (message instanceof ControlMessage.ResponseObserved observed) {
      writeHeader(out, MessageType.RESPONSE_OBSERVED, observed.correlationId());
      out.text(observed.fingerprint().value());
    } else {
      return false;
    }
    return true;
  }

  private static ControlMessage.QuarantineUpdate.Item readQuarantined(MessageReader in) {
    in.array(3);
    return new ControlMessage.QuarantineUpdate.Item(
        new RequestFingerprint(in.text()), in.number(), in.enumConstant(QuarantineState.values()));
  }

  private static void writeClaim(MessageWriter out, ControlMessage message) {
    if (message instanceof ControlMessage.ClaimRequest request) {
      writeHeader(out, MessageType.CLAIM_REQUEST, request.correlationId());
      ClaimCodec.writeKey(out, request.key());
      out.text(request.attempt().value()).text(request.fingerprintHex());
      out.number(request.timeoutMillis());
    } else if (message instanceof ControlMessage.ClaimReply reply) {
      writeHeader(out, MessageType.CLAIM_REPLY, reply.correlationId());
      ClaimCodec.writeOutcome(out, reply.outcome());
    } else if (message instanceof ControlMessage.ClaimComplete complete) {
      writeHeader(out, MessageType.CLAIM_COMPLETE, complete.correlationId());
      ClaimCodec.writeKey(out, complete.key());
      out.text(complete.attempt().value());
      out.optional(
          complete.answer(), (StoredResponse answer) -> ClaimCodec.writeResponse(out, answer));
    } else if (message instanceof ControlMessage.ClaimRelease release) {
      writeHeader(out, MessageType.CLAIM_RELEASE, release.correlationId());
      ClaimCodec.writeKey(out, release.key());
      out.text(release.attempt().value());
    } else if (message instanceof ControlMessage.ClaimEndReply reply) {
      writeHeader(out, MessageType.CLAIM_END_REPLY, reply.correlationId());
    }
  }

  private static ControlMessage read(MessageReader in) {
    int fieldCount = in.arraySize();
    MessageType type = MessageType.ofCode(in.integer());
    if (fieldCount != type.fieldCount()) {
      throw new MalformedMessageException(
          type + " must have " + type.fieldCount() + " fields: " + fieldCount);
    }
    long correlationId = in.number();
    return switch (type) {
      case CONTROL_HELLO -> readHello(in);
      case PEER_HELLO -> {
        checkMagic(in);
        yield new ControlMessage.PeerHello(new VmId(in.text()));
      }
      case SUBSCRIBE -> readSubscribe(in);
      case FRESHNESS_QUERY ->
          new ControlMessage.FreshnessQuery(correlationId, new Revision(in.number()), readAge(in));
      case FRESHNESS_REPLY ->
          new ControlMessage.FreshnessReply(correlationId, new Revision(in.number()), readAge(in));
      case CONFIG_DELTA ->
          new ControlMessage.ConfigDelta(
              new Revision(in.number()),
              new Revision(in.number()),
              in.flag(),
              in.list(() -> EntityCodec.read(in)),
              in.list(() -> EntityCodec.readId(in)));
      case CONFIG_SNAPSHOT ->
          new ControlMessage.ConfigSnapshot(
              new Revision(in.number()), in.flag(), in.flag(), in.list(() -> EntityCodec.read(in)));
      case REGISTRY_DELTA ->
          new ControlMessage.RegistryDelta(
              new ServiceName(in.text()),
              in.number(),
              in.number(),
              in.flag(),
              in.flag(),
              in.list(() -> TargetCodec.read(in)),
              readTargetIds(in));
      case ANNOUNCE -> new ControlMessage.Announce(in.list(() -> TargetCodec.read(in)));
      case WITHDRAW -> new ControlMessage.Withdraw(readTargetIds(in));
      case SHARE_ENVELOPE -> new ControlMessage.ShareEnvelope(in.bytes());
      case STATUS_QUERY -> new ControlMessage.StatusQuery(correlationId);
      case STATUS_REPLY ->
          new ControlMessage.StatusReply(correlationId, in.flag(), in.list(() -> readStatus(in)));
      case ATTACHMENT_REPORT ->
          new ControlMessage.AttachmentReport(in.list(() -> new DaemonId(in.text())));
      case RELAYS ->
          new ControlMessage.Relays(
              in.list(() -> Endpoint.parse(in.text())),
              correlationId == ACCEPTS_REPORTS || correlationId == ACCEPTS_REPORTS_AND_DEPARTURES,
              correlationId == ACCEPTS_REPORTS_AND_DEPARTURES);
      case PROCESS_DEPARTED -> new ControlMessage.ProcessDeparted(correlationId, in.text());
      case DEPARTURES_QUERY -> new ControlMessage.DeparturesQuery();
      case DEPARTURES -> new ControlMessage.Departures(in.list(in::text));
      case QUARANTINE_QUERY -> new ControlMessage.QuarantineQuery(in.number());
      case QUARANTINE_UPDATE ->
          new ControlMessage.QuarantineUpdate(
              in.number(), in.flag(), in.list(() -> readQuarantined(in)));
      case CRASH_OBSERVED ->
          new ControlMessage.CrashObserved(correlationId, QuarantineCodec.readReport(in));
      case RESPONSE_OBSERVED ->
          new ControlMessage.ResponseObserved(correlationId, new RequestFingerprint(in.text()));
      default -> readClaim(type, correlationId, in);
    };
  }

  private static ControlMessage readClaim(MessageType type, long correlationId, MessageReader in) {
    return switch (type) {
      case CLAIM_REQUEST ->
          new ControlMessage.ClaimRequest(
              correlationId, ClaimCodec.readKey(in), new CallId(in.text()), in.text(), in.number());
      case CLAIM_REPLY -> new ControlMessage.ClaimReply(correlationId, ClaimCodec.readOutcome(in));
      case CLAIM_COMPLETE ->
          new ControlMessage.ClaimComplete(
              correlationId,
              ClaimCodec.readKey(in),
              new CallId(in.text()),
              in.optional(() -> ClaimCodec.readResponse(in)));
      case CLAIM_RELEASE ->
          new ControlMessage.ClaimRelease(
              correlationId, ClaimCodec.readKey(in), new CallId(in.text()));
      case CLAIM_END_REPLY -> new ControlMessage.ClaimEndReply(correlationId);
      default -> throw new IllegalStateException("not a claim message: " + type);
    };
  }

  private static ControlMessage.ControlHello readHello(MessageReader in) {
    checkMagic(in);
    return new ControlMessage.ControlHello(
        new DaemonId(in.text()), new DataCentreId(in.text()), new Revision(in.number()));
  }

  private static void checkMagic(MessageReader in) {
    if (!in.text().equals(MAGIC)) {
      throw new MalformedMessageException("peer does not use the control protocol");
    }
    int version = in.integer();
    if (version != PROTOCOL_VERSION) {
      throw MessageReader.unknownType("protocol version", version);
    }
  }

  private static ControlMessage.Subscribe readSubscribe(MessageReader in) {
    Map<ServiceName, Long> versions = new HashMap<>();
    int size = in.arraySize();
    for (int i = 0; i < size; i++) {
      in.array(2);
      versions.put(new ServiceName(in.text()), in.number());
    }
    return new ControlMessage.Subscribe(versions);
  }

  private static Optional<Long> readAge(MessageReader in) {
    Optional<Long> age = in.optional(in::number);
    if (age.isPresent() && age.get() < 0) {
      throw new MalformedMessageException("age must be 0 or more: " + age.get());
    }
    return age;
  }

  private static List<TargetId> readTargetIds(MessageReader in) {
    return in.list(() -> new TargetId(in.text()));
  }

  private static void writeStatus(MessageWriter out, DaemonStatus status) {
    out.array(5).text(status.daemon().value()).text(status.dataCentre().value());
    out.text(status.relay().value()).number(status.appliedRevision().number());
    out.optional(status.freshnessAgeMillis(), out::number);
  }

  private static DaemonStatus readStatus(MessageReader in) {
    in.array(5);
    return new DaemonStatus(
        new DaemonId(in.text()),
        new DataCentreId(in.text()),
        new VmId(in.text()),
        new Revision(in.number()),
        readAge(in));
  }
}
