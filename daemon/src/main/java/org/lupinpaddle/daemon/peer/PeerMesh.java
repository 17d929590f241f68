/*
 * Copyright 2026 The lupinpaddle authors
 *
 * Licensed under the Apache License, Version 2.0 (the "License");
 * you may not use this file except in compliance with the License.
 * You may obtain a copy of the License at
 *
 *      http://www.apache.org/licenses/LICENSE-2.0
 *
 * Unless required by applicable law or agreed to in writing, software
 * distributed under the License is distributed on an "AS IS" BASIS,
 * WITHOUT WARRANTIES OR CONDITIONS OF ANY KIND, either express or implied.
 * See the License for the specific language governing permissions and
 * limitations under the License.
 */
package org.lupinpaddle.daemon.peer;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.peer.proto.Frame;
import org.lupinpaddle.daemon.peer.proto.Hello;

/**
 * The connections between entries. Each entry opens one connection to every other and sends on it; what it
 * receives comes on the connections that others opened. A frame to an entry that can not be reached is
 * dropped: whoever needs an answer repeats its question. All methods are called on the event loop.
 */
public final class PeerMesh implements AutoCloseable {

    private static final int CONNECT_MILLIS = 1_000;
    private static final long RECONNECT_MILLIS = 1_000;
    // A peer that takes in nothing must not fill our memory: beyond this the connection is closed.
    private static final int MOST_UNSENT_BYTES = 4 << 20;

    private final EventLoop loop;
    private final TrafficMeter meter;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Link> links = new HashMap<>();
    private final Channel server;
    private @Nullable Hello hello;
    private boolean closed;

    /** Listens on an address and gives what comes in to {@code listener}. */
    public PeerMesh(InetSocketAddress listen, EventLoop loop, PeerListener listener, MetricRegistry metrics) {
        this.loop = loop;
        this.meter = new TrafficMeter(metrics);
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(PeerChannels.initializer(() -> new InboundHandler(loop, listener, meter)))
                .bind(listen)
                .syncUninterruptibly()
                .channel();
    }

    /** Returns the address this entry listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Sets the greeting that opens each connection; connections are made from then on. */
    public void start(Hello greeting) {
        hello = greeting;
    }

    /** Connects to the entries with these addresses by id, and lets go of all others. */
    public void connectTo(Map<String, String> addresses) {
        for (String id : Set.copyOf(links.keySet())) {
            Link l = links.get(id);
            if (l != null && !l.address.equals(addresses.get(id))) {
                l.drop();
                links.remove(id);
            }
        }
        addresses.forEach((id, address) ->
                links.computeIfAbsent(id, k -> new Link(address)).connect());
    }

    /** Sends a frame to an entry, if there is a connection. */
    public void send(String to, Frame frame) {
        Link l = links.get(to);
        if (l != null) {
            l.send(frame);
        }
    }

    @Override
    public void close() {
        closed = true;
        links.values().forEach(Link::drop);
        server.close();
        group.shutdownGracefully(0, 100, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private final class Link {
        private final String address;
        private @Nullable Channel channel;
        private boolean connecting;
        private boolean dropped;

        private Link(String address) {
            this.address = address;
        }

        private void connect() {
            Hello greeting = hello;
            if (connecting || channel != null || dropped || closed || greeting == null) {
                return;
            }
            connecting = true;
            int colon = address.lastIndexOf(':');
            var future = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
                    .option(
                            ChannelOption.WRITE_BUFFER_WATER_MARK,
                            new WriteBufferWaterMark(MOST_UNSENT_BYTES / 2, MOST_UNSENT_BYTES))
                    .handler(PeerChannels.initializer(EndHandler::new))
                    .connect(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
            future.addListener(f -> loop.execute(() -> connected(f.isSuccess(), future.channel(), greeting)));
        }

        private void connected(boolean success, Channel ch, Hello greeting) {
            connecting = false;
            if (!success) {
                loop.after(RECONNECT_MILLIS, this::connect);
                return;
            }
            if (dropped || closed) {
                ch.close();
                return;
            }
            channel = ch;
            ch.closeFuture()
                    .addListener(f -> loop.execute(() -> {
                        channel = null;
                        loop.after(RECONNECT_MILLIS, this::connect);
                    }));
            send(Frame.newBuilder().setHello(greeting).build());
        }

        private void send(Frame frame) {
            Channel ch = channel;
            if (ch == null) {
                return;
            }
            if (!ch.isWritable()) {
                Log.warn("peer-stuck", "address", address);
                ch.close();
                return;
            }
            meter.sent(frame);
            ch.writeAndFlush(frame, ch.voidPromise());
        }

        private void drop() {
            dropped = true;
            Channel ch = channel;
            if (ch != null) {
                ch.close();
            }
        }
    }

    /** Nothing comes back on a connection that we opened; an error closes it. */
    private static final class EndHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
