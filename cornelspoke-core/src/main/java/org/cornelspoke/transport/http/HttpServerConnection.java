package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import org.cornelspoke.model.RefusalReason;
import org.cornelspoke.model.Verdict;
import org.cornelspoke.protocol.call.MessageBody;

/** One connection of a caller. Requests on a connection are served sequentially. */
final class HttpServerConnection implements SocketReader.Sink, HeldMemory.Holder {

  /** Pipelined bytes that are buffered while a request is served; reading pauses above this. */
  private static final int MAX_READ_AHEAD_BYTES = 64 << 10;

  private static final long REFUSED_RETRY_MILLIS = 1_000;

  private enum State {
    HEAD,
    BODY,
    SERVING,
    LINGERING,
    CLOSED
  }

  private final HttpServer server;
  private final ITcpSocket socket;
  private final SocketReader reader;
  private final boolean refusing;
  private final ReadBuffer in = new ReadBuffer();
  private final ArrivalTimes arrivalTimes = new ArrivalTimes();
  private State state = State.HEAD;
  private RequestHead head;
  private BodyReader bodyReader;
  private HttpExchange exchange;
  private boolean parsing;
  private final long acceptedNanos = System.nanoTime();

  /** Earliest time at which the caller can have connected, and can have sent its first bytes. */
  private final long earliestConnectNanos;

  private long stateStartNanos;
  private long arrivalNanos;

  /** Size of the body of the request that is being served, also after the caller has left. */
  private int servedBodyBytes;

  private long unsentBytes;

  /** The parts of a response must not be mixed with those of the next one. */
  private Promise<Void> lastWrite = Promise.complete();

  private long lastProgressNanos = acceptedNanos;
  private long accountedBytes;

  /**
   * Creates a connection.
   *
   * @param refusing true if the first request is refused, because too many connections are open
   */
  HttpServerConnection(HttpServer server, ITcpSocket socket, boolean refusing) {
    this.refusing = refusing;
    this.server = server;
    this.socket = socket;
    this.reader = new SocketReader(socket, this);
    this.stateStartNanos = acceptedNanos;
    this.earliestConnectNanos = server.backlog().arrivalNanos();
  }

  void start() {
    reader.start();
  }

  @Override
  public void onData(ByteBuf buf) {
    if (state == State.LINGERING || state == State.CLOSED) {
      return;
    }
    if (state == State.HEAD && in.size() == 0) {
      stateStartNanos = System.nanoTime();
    }
    lastProgressNanos = System.nanoTime();
    arrivalTimes.onAppended(buf.readRemaining(), inputArrivalNanos());
    in.append(buf);
    if (state == State.SERVING) {
      if (in.size() > MAX_READ_AHEAD_BYTES || server.memory().isScarce()) {
        reader.pause();
      }
    } else {
      parse();
      arrivalTimes.discardConsumed(in.size());
    }
    account();
  }

  @Override
  public long heldBytes() {
    int bufferBytes = state == State.CLOSED ? 0 : in.capacity() - ReadBuffer.INITIAL_BYTES;
    int bodyBytes = bodyReader == null ? 0 : bodyReader.reservedBytes();
    return Math.max(0, bufferBytes) + bodyBytes + servedBodyBytes + unsentBytes;
  }

  @Override
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /** A request that is being served keeps its memory, because an upstream may be running it. */
  @Override
  public boolean isRevocable() {
    return switch (state) {
      case HEAD -> in.size() > 0 || unsentBytes > 0;
      case BODY -> true;
      case LINGERING -> unsentBytes > 0;
      case SERVING, CLOSED -> false;
    };
  }

  @Override
  public void revoke() {
    if (unsentBytes > 0 || state == State.LINGERING) {
      close();
    } else {
      respondAndClose(overloadResponse());
    }
  }

  private void account() {
    long changeBytes = heldBytes() - accountedBytes;
    accountedBytes += changeBytes;
    if (changeBytes != 0) {
      server.memory().onChange(this, changeBytes);
    }
  }

  /** Input that is read in the first iteration after the accept may have arrived before it. */
  private long inputArrivalNanos() {
    long earliestNanos = server.backlog().arrivalNanos();
    return earliestNanos - acceptedNanos <= 0 ? earliestConnectNanos : earliestNanos;
  }

  @Override
  public void onEnd(boolean clean) {
    close();
  }

  /** Parses buffered requests until more bytes are needed or a request is being served. */
  private void parse() {
    if (parsing) {
      return;
    }
    parsing = true;
    try {
      boolean progress = true;
      while (progress) {
        progress =
            switch (state) {
              case HEAD -> parseHead();
              case BODY -> parseBody();
              default -> false;
            };
      }
    } catch (HttpSyntaxException e) {
      refuse(e);
    } finally {
      parsing = false;
    }
  }

  private boolean parseHead() throws HttpSyntaxException {
    if (in.size() == 0) {
      return false;
    }
    arrivalNanos = arrivalTimes.ofFirst(in.size());
    int length = HeadParser.findEnd(in);
    if (length < 0) {
      return false;
    }
    head = HeadParser.parseRequest(in.array(), in.head(), length);
    in.consume(length);
    if (refusing) {
      server.onConnectionRefused();
      respondAndClose(overloadResponse());
      return false;
    }
    bodyReader =
        head.chunked()
            ? BodyReader.chunked(server.maxBodyBytes())
            : BodyReader.ofLength(head.contentLength(), server.maxBodyBytes());
    if (head.expectsContinue() && in.size() == 0) {
      write(ByteBuf.wrapForReading(ResponseWriter.CONTINUE.clone()), MessageBody.EMPTY, false);
    }
    changeState(State.BODY);
    return true;
  }

  private boolean parseBody() throws HttpSyntaxException {
    if (!bodyReader.read(in)) {
      return false;
    }
    MessageBody body = bodyReader.body();
    servedBodyBytes = body.sizeBytes();
    exchange = new HttpExchange(this, head, body, arrivalNanos);
    bodyReader = null;
    changeState(State.SERVING);
    server.serve(exchange);
    return true;
  }

  void respond(HttpExchange respondedExchange, HttpResponse response) {
    server.onResponded();
    servedBodyBytes = 0;
    if (respondedExchange != exchange || state != State.SERVING) {
      account();
      return;
    }
    exchange = null;
    boolean close = !head.keepAlive() || server.isClosing();
    boolean keepAlive = !close && !head.http11();
    boolean headRequest = head.method().equals("HEAD");
    ByteBuf responseHead = ResponseWriter.writeHead(response, headRequest, close, keepAlive);
    MessageBody body = ResponseWriter.body(response, headRequest);
    if (close) {
      changeState(State.LINGERING);
      write(responseHead, body, true);
      reader.resume();
      return;
    }
    changeState(State.HEAD);
    write(responseHead, body, false);
    reader.resume();
    parse();
  }

  /** Returns true if no request is being received or served, and all responses have been sent. */
  boolean isIdle() {
    return state == State.HEAD && in.size() == 0 && unsentBytes == 0;
  }

  /** Returns true if the last response has been sent and the connection is about to close. */
  boolean isLingering() {
    return state == State.LINGERING;
  }

  long stateStartNanos() {
    return stateStartNanos;
  }

  /** Closes the connection if the timeout of its current state has expired. */
  void closeIfTimedOut(long nowNanos) {
    long elapsedNanos = nowNanos - stateStartNanos;
    if (unsentBytes > 0) {
      elapsedNanos = Math.min(elapsedNanos, nowNanos - lastProgressNanos);
    }
    long timeoutNanos =
        switch (state) {
          case HEAD ->
              in.size() == 0 ? HttpServer.IDLE_TIMEOUT_NANOS : HttpServer.HEAD_TIMEOUT_NANOS;
          case BODY -> HttpServer.BODY_TIMEOUT_NANOS;
          case LINGERING -> HttpServer.LINGER_TIMEOUT_NANOS;
          default -> Long.MAX_VALUE;
        };
    if (elapsedNanos > timeoutNanos) {
      close();
    }
  }

  void close() {
    if (state == State.CLOSED) {
      return;
    }
    changeState(State.CLOSED);
    bodyReader = null;
    unsentBytes = 0;
    socket.close();
    account();
    server.onClosed(this);
    if (exchange != null) {
      HttpExchange abandoned = exchange;
      exchange = null;
      abandoned.abandon();
    }
  }

  /** Refuses the request that is being received, if any, and closes the connection. */
  void refuseIncomplete(HttpResponse response) {
    if (state == State.BODY || (state == State.HEAD && in.size() > 0)) {
      respondAndClose(response);
    }
  }

  private void refuse(HttpSyntaxException e) {
    server.onMalformed(e);
    respondAndClose(HttpResponse.refusal(e.status(), e.reason(), Verdict.NOT_RUN, -1));
  }

  private static HttpResponse overloadResponse() {
    return HttpResponse.refusal(
        RefusalReason.OVERLOAD.httpStatus(),
        RefusalReason.OVERLOAD,
        Verdict.NOT_RUN,
        REFUSED_RETRY_MILLIS);
  }

  private void respondAndClose(HttpResponse response) {
    in.clear();
    bodyReader = null;
    changeState(State.LINGERING);
    write(
        ResponseWriter.writeHead(response, false, true, false),
        ResponseWriter.body(response, false),
        true);
  }

  /**
   * Writes bytes. If {@code last} is true, shuts down the output but continues to read and discard
   * input until the linger timeout: closing a socket with unread input resets the connection, and
   * the caller would lose the response.
   */
  private void write(ByteBuf messageHead, MessageBody body, boolean last) {
    unsentBytes += messageHead.readRemaining() + body.sizeBytes();
    lastProgressNanos = System.nanoTime();
    account();
    lastWrite =
        lastWrite
            .then(() -> BodyWriter.write(socket, messageHead, body, this::onSent))
            .whenComplete(
                (result, e) -> {
                  if (e != null) {
                    close();
                  } else if (last && state == State.LINGERING) {
                    socket.write(null);
                  }
                });
  }

  private void onSent(int bytes) {
    if (state != State.CLOSED) {
      unsentBytes -= bytes;
      lastProgressNanos = System.nanoTime();
      account();
    }
  }

  private void changeState(State next) {
    state = next;
    stateStartNanos = System.nanoTime();
  }
}
