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

/** Turns the slots' messages into frames and back. */
final class SlotFrames {

    private SlotFrames() {}

    static Frame encode(SlotMessage message) {
        Frame.Builder f = Frame.newBuilder();
        if (message instanceof SlotMessage.Ask m) {
            f.setSlotAsk(SlotAsk.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setUrgency(m.urgency().ordinal())
                    .setWaitedMillis(m.waitedMillis())
                    .setRemainingMillis(m.remainingMillis())
                    .setHall(m.hall())
                    .addAllAvoid(m.avoid())
                    .setMemoryMb(m.memoryMb()));
        } else if (message instanceof SlotMessage.Cancel m) {
            f.setSlotCancel(SlotCancel.newBuilder().setService(m.service()).setAsk(m.ask()));
        } else if (message instanceof SlotMessage.Release m) {
            f.setSlotRelease(SlotRelease.newBuilder()
                    .setService(m.service())
                    .setGrant(Grant.newBuilder().setId(m.grant()).setWorker(m.worker()))
                    .setOutcome(m.outcome().ordinal()));
        } else if (message instanceof SlotMessage.InUse m) {
            SlotsInUse.Builder b = SlotsInUse.newBuilder().setService(m.service());
            m.grants().forEach(g -> b.addGrants(encode(g)));
            f.setSlotsInUse(b);
        } else if (message instanceof SlotMessage.Queued m) {
            f.setSlotQueued(SlotQueued.newBuilder().setService(m.service()).setAsk(m.ask()));
        } else if (message instanceof SlotMessage.Granted m) {
            f.setSlotGranted(SlotGranted.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setGrant(encode(m.grant())));
        } else if (message instanceof SlotMessage.Refused m) {
            f.setSlotRefused(SlotRefused.newBuilder()
                    .setService(m.service())
                    .setAsk(m.ask())
                    .setReason(m.reason().ordinal())
                    .setComeBackMillis(m.retryAfterMillis()));
        }
        return f.build();
    }

    /** Returns the message in a frame, or null where the frame holds none of ours. */
    static @Nullable SlotMessage decode(Frame f) {
        return switch (f.getBodyCase()) {
            case SLOT_ASK -> decode(f.getSlotAsk());
            case SLOT_CANCEL ->
                new SlotMessage.Cancel(
                        f.getSlotCancel().getService(), f.getSlotCancel().getAsk());
            case SLOT_RELEASE -> decode(f.getSlotRelease());
            case SLOTS_IN_USE ->
                new SlotMessage.InUse(
                        f.getSlotsInUse().getService(),
                        f.getSlotsInUse().getGrantsList().stream()
                                .map(SlotFrames::decode)
                                .toList());
            case SLOT_QUEUED ->
                new SlotMessage.Queued(
                        f.getSlotQueued().getService(), f.getSlotQueued().getAsk());
            case SLOT_GRANTED ->
                new SlotMessage.Granted(
                        f.getSlotGranted().getService(),
                        f.getSlotGranted().getAsk(),
                        decode(f.getSlotGranted().getGrant()));
            case SLOT_REFUSED -> decode(f.getSlotRefused());
            default -> null;
        };
    }

    private static SlotMessage decode(SlotAsk m) {
        return new SlotMessage.Ask(
                m.getService(),
                m.getAsk(),
                at(Urgency.values(), m.getUrgency(), Urgency.NORMAL),
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
                at(AttemptOutcome.values(), m.getOutcome(), AttemptOutcome.UNUSED));
    }

    private static SlotMessage decode(SlotRefused m) {
        return new SlotMessage.Refused(
                m.getService(),
                m.getAsk(),
                at(GiveUpReason.values(), m.getReason(), GiveUpReason.SHED),
                m.getComeBackMillis());
    }

    private static Grant encode(SlotMessage.Grant g) {
        return Grant.newBuilder().setId(g.id()).setWorker(g.worker()).build();
    }

    private static SlotMessage.Grant decode(Grant g) {
        return new SlotMessage.Grant(g.getId(), g.getWorker());
    }

    // A newer version may send a value that this one does not know.
    private static <T> T at(T[] values, int ordinal, T otherwise) {
        return ordinal >= 0 && ordinal < values.length ? values[ordinal] : otherwise;
    }
}
