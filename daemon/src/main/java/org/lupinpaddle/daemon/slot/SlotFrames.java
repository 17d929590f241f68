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
package org.lupinpaddle.daemon.slot;

import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.common.Urgency;
import org.lupinpaddle.core.request.AttemptOutcome;
import org.lupinpaddle.core.request.GiveUpReason;
import org.lupinpaddle.core.slot.SlotMessage;
import org.lupinpaddle.daemon.peer.proto.Frame;
import org.lupinpaddle.daemon.peer.proto.Grant;
import org.lupinpaddle.daemon.peer.proto.SlotAsk;
import org.lupinpaddle.daemon.peer.proto.SlotCancel;
import org.lupinpaddle.daemon.peer.proto.SlotGranted;
import org.lupinpaddle.daemon.peer.proto.SlotQueued;
import org.lupinpaddle.daemon.peer.proto.SlotRefused;
import org.lupinpaddle.daemon.peer.proto.SlotRelease;
import org.lupinpaddle.daemon.peer.proto.SlotsInUse;

/** Converts slot messages to frames of the peer protocol and back. */
final class SlotFrames {

    private SlotFrames() {}

    static Frame encode(SlotMessage message) {
        Frame.Builder frame = Frame.newBuilder();
        if (message instanceof SlotMessage.Ask m) {
            frame.setSlotAsk(SlotAsk.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setUrgency(m.urgency().ordinal())
                    .setWaitedMillis(m.waitedMillis())
                    .setRemainingMillis(m.remainingMillis())
                    .setHall(m.hall())
                    .addAllAvoid(m.avoid())
                    .setMemoryMb(m.memoryMb()));
        } else if (message instanceof SlotMessage.Cancel m) {
            frame.setSlotCancel(SlotCancel.newBuilder().setService(m.service()).setAsk(m.ask()));
        } else if (message instanceof SlotMessage.Release m) {
            frame.setSlotRelease(SlotRelease.newBuilder()
                    .setService(m.service())
                    .setGrant(Grant.newBuilder().setId(m.grant()).setWorker(m.worker()))
                    .setOutcome(m.outcome().ordinal()));
        } else if (message instanceof SlotMessage.InUse m) {
            SlotsInUse.Builder b = SlotsInUse.newBuilder().setService(m.service());
            m.grants().forEach(g -> b.addGrants(encode(g)));
            frame.setSlotsInUse(b);
        } else if (message instanceof SlotMessage.Queued m) {
            frame.setSlotQueued(SlotQueued.newBuilder().setService(m.service()).setAsk(m.ask()));
        } else if (message instanceof SlotMessage.Granted m) {
            frame.setSlotGranted(SlotGranted.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setGrant(encode(m.grant())));
        } else if (message instanceof SlotMessage.Refused m) {
            frame.setSlotRefused(SlotRefused.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setReason(m.reason().ordinal())
                    .setComeBackMillis(m.retryAfterMillis()));
        }
        return frame.build();
    }

    /** Returns the slot message in a frame, or null if the frame has another type. */
    static @Nullable SlotMessage decode(Frame frame) {
        return switch (frame.getBodyCase()) {
            case SLOT_ASK -> decode(frame.getSlotAsk());
            case SLOT_CANCEL ->
                new SlotMessage.Cancel(
                        frame.getSlotCancel().getService(),
                        frame.getSlotCancel().getAsk());
            case SLOT_RELEASE -> decode(frame.getSlotRelease());
            case SLOTS_IN_USE ->
                new SlotMessage.InUse(
                        frame.getSlotsInUse().getService(),
                        frame.getSlotsInUse().getGrantsList().stream()
                                .map(SlotFrames::decode)
                                .toList());
            case SLOT_QUEUED ->
                new SlotMessage.Queued(
                        frame.getSlotQueued().getService(),
                        frame.getSlotQueued().getAsk());
            case SLOT_GRANTED ->
                new SlotMessage.Granted(
                        frame.getSlotGranted().getService(),
                        frame.getSlotGranted().getAsk(),
                        decode(frame.getSlotGranted().getGrant()));
            case SLOT_REFUSED -> decode(frame.getSlotRefused());
            default -> null;
        };
    }

    private static SlotMessage decode(SlotAsk m) {
        return new SlotMessage.Ask(
                m.getService(),
                m.getAsk(),
                byOrdinal(Urgency.values(), m.getUrgency(), Urgency.NORMAL),
                m.getWaitedMillis(),
                m.getRemainingMillis(),
                m.getHall(),
                Set.copyOf(m.getAvoidList()),
                m.getMemoryMb());
    }

    private static SlotMessage decode(SlotRelease m) {
        return new SlotMessage.Release(
                m.getService(),
                m.getGrant().getId(),
                m.getGrant().getWorker(),
                byOrdinal(AttemptOutcome.values(), m.getOutcome(), AttemptOutcome.UNUSED));
    }

    private static SlotMessage decode(SlotRefused m) {
        return new SlotMessage.Refused(
                m.getService(),
                m.getAsk(),
                byOrdinal(GiveUpReason.values(), m.getReason(), GiveUpReason.SHED),
                m.getComeBackMillis());
    }

    private static Grant encode(SlotMessage.Grant g) {
        return Grant.newBuilder().setId(g.id()).setWorker(g.worker()).build();
    }

    private static SlotMessage.Grant decode(Grant g) {
        return new SlotMessage.Grant(g.getId(), g.getWorker());
    }

    // A peer with a newer version may send a value that is unknown to this version.
    private static <T> T byOrdinal(T[] values, int ordinal, T defaultValue) {
        return ordinal >= 0 && ordinal < values.length ? values[ordinal] : defaultValue;
    }
}
