package org.cornelspoke.protocol.control;

import org.cornelspoke.state.codec.MessageReader;

/** Types of control messages. The codes are part of the wire format and must not change. */
enum MessageType {
  CONTROL_HELLO(1, 7),
  PEER_HELLO(2, 5),
  SUBSCRIBE(3, 3),
  FRESHNESS_QUERY(4, 4),
  FRESHNESS_REPLY(5, 4),
  CONFIG_DELTA(6, 7),
  CONFIG_SNAPSHOT(7, 6),
  REGISTRY_DELTA(8, 9),
  ANNOUNCE(9, 3),
  WITHDRAW(10, 3),
  SHARE_ENVELOPE(11, 3),
  CLAIM_REQUEST(12, 6),
  CLAIM_REPLY(13, 3),
  CLAIM_COMPLETE(14, 5),
  CLAIM_RELEASE(15, 4),
  CLAIM_END_REPLY(16, 2),
  STATUS_QUERY(17, 2),
  STATUS_REPLY(18, 4),
  ATTACHMENT_REPORT(19, 3),
  RELAYS(20, 3),
  QUARANTINE_QUERY(21, 3),
  QUARANTINE_UPDATE(22, 5),
  CRASH_OBSERVED(23, 3),
  RESPONSE_OBSERVED(24, 3),
  PROCESS_DEPARTED(25, 3),
  DEPARTURES_QUERY(26, 2),
  DEPARTURES(27, 3);

  private final int code;
  private final int fieldCount;

  MessageType(int code, int fieldCount) {
    this.code = code;
    this.fieldCount = fieldCount;
  }

  int code() {
    return code;
  }

  /** Returns the number of array elements, including the type and the correlation id. */
  int fieldCount() {
    return fieldCount;
  }

  static MessageType ofCode(int code) {
    for (MessageType type : values()) {
      if (type.code == code) {
        return type;
      }
    }
    throw MessageReader.unknownType("control message", code);
  }
}
