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
package org.lupinpaddle.core.instance;

import java.util.List;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The stored state of one instance. Its pool is recorded only here, so an instance is always in exactly one
 * pool.
 *
 * @param id the platform's name of the instance
 * @param pool the pool it belongs to
 * @param hall the data hall that contains it
 * @param rack the rack that contains it
 * @param address the worker's IP and port
 * @param slots the number of requests it runs concurrently
 * @param memoryMb memory of the worker, in megabytes
 * @param state its lifecycle state
 * @param incarnation the number of its starts, as last seen in service; 0 before it was first seen
 * @param wave the wave that holds it while it is not in service, or null
 * @param spentPermit the last permit that it was drained on or that it declined; null before the first
 * @param doneWaves the last waves that finished with it, newest first
 */
public record InstanceRecord(
        String id,
        String pool,
        String hall,
        String rack,
        String address,
        int slots,
        int memoryMb,
        InstanceState state,
        long incarnation,
        @Nullable String wave,
        @Nullable String spentPermit,
        List<String> doneWaves) {

    // Few are needed: waves on the same instance overlap only if two operators start them at the same moment.
    private static final int MAX_DONE_WAVES = 4;

    /** Returns whether the wave has finished with the instance. */
    public boolean isDoneBy(String waveName) {
        return doneWaves.contains(waveName);
    }

    /** Returns whether the wave currently holds the instance. */
    public boolean isHeldBy(String waveName) {
        return waveName.equals(wave);
    }

    /** Returns a builder with only the id set. */
    public static Builder builder(String id) {
        return new Builder(id);
    }

    /** Returns a builder with the values of this record. */
    public Builder toBuilder() {
        return new Builder(id)
                .pool(pool)
                .location(hall, rack)
                .address(address)
                .size(slots, memoryMb)
                .state(state)
                .incarnation(incarnation)
                .wave(wave)
                .spentPermit(spentPermit)
                .doneWaves(doneWaves);
    }

    /** Builds an {@link InstanceRecord}. */
    public static final class Builder {
        private final String id;
        private String pool = "";
        private String hall = "";
        private String rack = "";
        private String address = "";
        private int slots = 1;
        private int memoryMb;
        private InstanceState state = InstanceState.IN_SERVICE;
        private long incarnation;
        private @Nullable String wave;
        private @Nullable String spentPermit;
        private List<String> doneWaves = List.of();

        private Builder(String id) {
            this.id = id;
        }

        /** Sets the pool. */
        public Builder pool(String newPool) {
            this.pool = newPool;
            return this;
        }

        /** Sets the data hall and the rack. */
        public Builder location(String newHall, String newRack) {
            this.hall = newHall;
            this.rack = newRack;
            return this;
        }

        /** Sets the worker's IP and port. */
        public Builder address(String newAddress) {
            this.address = newAddress;
            return this;
        }

        /** Sets the number of slots and the memory in megabytes. */
        public Builder size(int newSlots, int newMemoryMb) {
            this.slots = newSlots;
            this.memoryMb = newMemoryMb;
            return this;
        }

        /** Sets the state. */
        public Builder state(InstanceState newState) {
            this.state = newState;
            return this;
        }

        /** Sets the incarnation. */
        public Builder incarnation(long newIncarnation) {
            this.incarnation = newIncarnation;
            return this;
        }

        /** Sets the wave that holds the instance. */
        public Builder wave(@Nullable String newWave) {
            this.wave = newWave;
            return this;
        }

        /** Sets the id of the last spent permit. */
        public Builder spentPermit(@Nullable String permitId) {
            this.spentPermit = permitId;
            return this;
        }

        /** Sets the last waves that finished with the instance. */
        public Builder doneWaves(List<String> waveNames) {
            this.doneWaves = List.copyOf(waveNames);
            return this;
        }

        /** Adds a wave that has finished with the instance. */
        public Builder doneBy(String waveName) {
            this.doneWaves = Stream.concat(Stream.of(waveName), doneWaves.stream())
                    .distinct()
                    .limit(MAX_DONE_WAVES)
                    .toList();
            return this;
        }

        /** Returns the record. */
        public InstanceRecord build() {
            return new InstanceRecord(
                    id, pool, hall, rack, address, slots, memoryMb, state, incarnation, wave, spentPermit, doneWaves);
        }
    }
}
