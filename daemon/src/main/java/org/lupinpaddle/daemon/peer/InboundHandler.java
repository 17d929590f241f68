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

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.daemon.common.EventLoop;
import org.lupinpaddle.daemon.common.Log;
import org.lupinpaddle.daemon.peer.proto.Frame;

/** One connection that another entry opened: its first frame says who it is. */
final class InboundHandler extends SimpleChannelInboundHandler<Frame> {

    private final EventLoop loop;
    private final PeerListener listener;
    private final TrafficMeter meter;
    private @Nullable String from;

    InboundHandler(EventLoop loop, PeerListener listener, TrafficMeter meter) {
        this.loop = loop;
        this.listener = listener;
        this.meter = meter;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        meter.received(frame);
        String id = from;
        if (id == null) {
            greet(ctx, frame);
        } else {
            loop.execute(() -> listener.onFrame(id, frame));
        }
    }

    private void greet(ChannelHandlerContext ctx, Frame frame) {
        if (!frame.hasHello() || frame.getHello().getId().isEmpty()) {
            Log.warn("peer-refused", "remote", ctx.channel().remoteAddress(), "why", "no hello");
            ctx.close();
            return;
        }
        from = frame.getHello().getId();
        loop.execute(() -> listener.onHello(frame.getHello()));
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        String id = from;
        if (id != null) {
            loop.execute(() -> listener.onGone(id));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Log.warn("peer-broken", "from", String.valueOf(from), "why", cause);
        ctx.close();
    }
}
