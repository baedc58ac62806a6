package org.cornelspoke.state.codec;

import org.cornelspoke.model.CallId;
import org.cornelspoke.model.DaemonId;
import org.cornelspoke.model.RequestId;
import org.cornelspoke.model.Revision;
import org.cornelspoke.model.ServiceName;
import org.cornelspoke.model.TargetId;
import org.cornelspoke.state.claim.Claim;
import org.cornelspoke.state.claim.ClaimTableSnapshot;
import org.cornelspoke.state.config.AuditEntry;
import org.cornelspoke.state.config.ConfigEntity;
import org.cornelspoke.state.config.ConfigStateSnapshot;
import org.cornelspoke.state.config.RecordedResult;
import org.cornelspoke.state.config.VersionedEntity;
import org.cornelspoke.state.quarantine.QuarantineSnapshot;
import org.cornelspoke.state.registry.Departure;
import org.cornelspoke.state.registry.RegistrySnapshot;
import org.cornelspoke.state.registry.Target;

/** Encodes and decodes snapshots of the control group's state. Stateless. */
public final class SnapshotCodec {

  private static final String MAGIC = "cornelspoke-state";
  private static final int FORMAT = 1;
  private static final int FORMAT_WITH_QUARANTINE = 2;
  private static final int FORMAT_WITH_DEPARTURES = 3;

  private SnapshotCodec() {}

  /** Contents of a snapshot. */
  public record Contents(
      ConfigStateSnapshot config,
      RegistrySnapshot registry,
      ClaimTableSnapshot claims,
      QuarantineSnapshot quarantine) {

    /** Creates the contents of a state in which no crash was recorded. */
    public Contents(
        ConfigStateSnapshot config, RegistrySnapshot registry, ClaimTableSnapshot claims) {
      this(config, registry, claims, QuarantineSnapshot.EMPTY);
    }
  }

  /**
   * Encodes a snapshot. Equal states have equal encodings. Without a recorded crash or departure,
   * the encoding is one that earlier versions can read.
   */
  public static byte[] encode(Contents contents) {
    int format = format(contents);
    MessageWriter out = new MessageWriter().array(fieldCount(format)).text(MAGIC).number(format);
    writeConfig(out, contents.config());
    writeRegistry(out, contents.registry());
    writeClaims(out, contents.claims());
    if (format >= FORMAT_WITH_QUARANTINE) {
      QuarantineCodec.writeSnapshot(out, contents.quarantine());
    }
    if (format >= FORMAT_WITH_DEPARTURES) {
      out.list(
          contents.registry().departures(),
          (Departure departure) -> {
            out.array(3).text(departure.daemon().value()).text(departure.process());
            out.number(departure.timestampMillis());
          });
    }
    return out.toByteArray();
  }

  private static int format(Contents contents) {
    if (!contents.registry().departures().isEmpty()) {
      return FORMAT_WITH_DEPARTURES;
    }
    return contents.quarantine().equals(QuarantineSnapshot.EMPTY) ? FORMAT : FORMAT_WITH_QUARANTINE;
  }

  private static int fieldCount(int format) {
    return 4 + format;
  }

  /**
   * Decodes a snapshot.
   *
   * @throws MalformedMessageException if the bytes are not a snapshot of a known format
   */
  public static Contents decode(byte[] snapshot) {
    return MessageReader.decode(
        snapshot,
        in -> {
          int size = in.arraySize();
          if (!in.text().equals(MAGIC)) {
            throw new MalformedMessageException("not a snapshot of the control group's state");
          }
          int format = in.integer();
          if (format < FORMAT || format > FORMAT_WITH_DEPARTURES) {
            throw MessageReader.unknownType("snapshot format", format);
          }
          if (size != fieldCount(format)) {
            throw new MalformedMessageException("snapshot has a wrong number of fields: " + size);
          }
          ConfigStateSnapshot config = readConfig(in);
          RegistrySnapshot registry = readRegistry(in);
          ClaimTableSnapshot claims = readClaims(in);
          QuarantineSnapshot quarantine =
              format >= FORMAT_WITH_QUARANTINE
                  ? QuarantineCodec.readSnapshot(in)
                  : QuarantineSnapshot.EMPTY;
          return new Contents(
              config,
              format >= FORMAT_WITH_DEPARTURES
                  ? registry.withDepartures(in.list(() -> readDeparture(in)))
                  : registry,
              claims,
              quarantine);
        });
  }

  private static Departure readDeparture(MessageReader in) {
    in.array(3);
    return new Departure(new DaemonId(in.text()), in.text(), in.number());
  }

  private static void writeConfig(MessageWriter out, ConfigStateSnapshot snapshot) {
    out.array(7).number(snapshot.revision().number()).number(snapshot.tombstoneFloor().number());
    out.list(
        snapshot.entities(),
        (VersionedEntity entity) -> {
          out.array(3);
          EntityCodec.writeId(out, entity.id());
          out.number(entity.revision().number());
          out.optional(entity.value(), (ConfigEntity value) -> EntityCodec.write(out, value));
        });
    out.list(
        snapshot.recordedResults(),
        (RecordedResult recorded) -> {
          out.array(4).text(recorded.requestId().value()).text(recorded.changeDigest());
          ChangeCodec.writeResult(out.number(recorded.timestampMillis()), recorded.result());
        });
    out.list(snapshot.audit(), (AuditEntry entry) -> ChangeCodec.writeAudit(out, entry));
    out.number(snapshot.auditSequence()).number(snapshot.timestampMillis());
  }

  private static ConfigStateSnapshot readConfig(MessageReader in) {
    in.array(7);
    return new ConfigStateSnapshot(
        new Revision(in.number()),
        new Revision(in.number()),
        in.list(
            () -> {
              in.array(3);
              return new VersionedEntity(
                  EntityCodec.readId(in),
                  new Revision(in.number()),
                  in.optional(() -> EntityCodec.read(in)));
            }),
        in.list(
            () -> {
              in.array(4);
              return new RecordedResult(
                  new RequestId(in.text()), in.text(), in.number(), ChangeCodec.readResult(in));
            }),
        in.list(() -> ChangeCodec.readAudit(in)),
        in.number(),
        in.number());
  }

  private static void writeRegistry(MessageWriter out, RegistrySnapshot snapshot) {
    out.array(3).number(snapshot.version()).number(snapshot.tombstoneFloor());
    out.list(
        snapshot.entries(),
        (RegistrySnapshot.Entry entry) -> {
          out.array(4).text(entry.service().value()).text(entry.id().value());
          out.number(entry.version());
          out.optional(entry.target(), (Target target) -> TargetCodec.write(out, target));
        });
  }

  private static RegistrySnapshot readRegistry(MessageReader in) {
    in.array(3);
    return new RegistrySnapshot(
        in.number(),
        in.number(),
        in.list(
            () -> {
              in.array(4);
              return new RegistrySnapshot.Entry(
                  new ServiceName(in.text()),
                  new TargetId(in.text()),
                  in.number(),
                  in.optional(() -> TargetCodec.read(in)));
            }));
  }

  private static void writeClaims(MessageWriter out, ClaimTableSnapshot snapshot) {
    out.array(3).number(snapshot.timestampMillis());
    out.list(
        snapshot.claims(),
        (Claim claim) -> {
          out.array(5);
          ClaimCodec.writeKey(out, claim.key());
          out.text(claim.attempt().value()).text(claim.fingerprintHex());
          ClaimCodec.writeOutcome(out.number(claim.timestampMillis()), claim.state());
        });
    out.list(
        snapshot.releasedAttempts(),
        (ClaimTableSnapshot.ReleasedAttempt released) ->
            out.array(2).text(released.attempt().value()).number(released.timestampMillis()));
  }

  private static ClaimTableSnapshot readClaims(MessageReader in) {
    in.array(3);
    return new ClaimTableSnapshot(
        in.number(),
        in.list(
            () -> {
              in.array(5);
              return new Claim(
                  ClaimCodec.readKey(in),
                  new CallId(in.text()),
                  in.text(),
                  in.number(),
                  ClaimCodec.readOutcome(in));
            }),
        in.list(
            () -> {
              in.array(2);
              return new ClaimTableSnapshot.ReleasedAttempt(new CallId(in.text()), in.number());
            }));
  }
}
