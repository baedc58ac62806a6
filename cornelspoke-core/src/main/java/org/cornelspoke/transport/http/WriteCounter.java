package org.cornelspoke.transport.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.function.IntConsumer;

/**
 * Reports the bytes that a socket accepts. A failed request counts as "not run" only if the socket
 * accepted none of its bytes.
 */
final class WriteCounter implements TcpSocket.Inspector {

  private final IntConsumer listener;

  WriteCounter(IntConsumer listener) {
    this.listener = listener;
  }

  @Override
  public void onWrite(TcpSocket socket, ByteBuf buf, int bytes) {
    listener.accept(bytes);
  }

  @Override
  public void onConnect(TcpSocket socket) {}

  @Override
  public void onReadTimeout(TcpSocket socket) {}

  @Override
  public void onRead(TcpSocket socket, ByteBuf buf) {}

  @Override
  public void onReadEndOfStream(TcpSocket socket) {}

  @Override
  public void onReadError(TcpSocket socket, IOException e) {}

  @Override
  public void onWriteTimeout(TcpSocket socket) {}

  @Override
  public void onWriteError(TcpSocket socket, IOException e) {}

  @Override
  public void onDisconnect(TcpSocket socket) {}

  @Override
  public <T extends TcpSocket.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
