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
package org.lupinpaddle.core.command;

import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.service.Reserve;
import org.lupinpaddle.core.wave.WaveOrder;
import org.lupinpaddle.core.wave.WaveScope;
import org.lupinpaddle.core.wave.WaveState;

/** What an operator can say, as typed values. */
public sealed interface OperatorCommand {

    /** A question: it changes nothing. */
    sealed interface Question extends OperatorCommand {}

    /** A change: it ends accepted, refused or unknown. */
    sealed interface Change extends OperatorCommand {}

    /** What is in force on this entry and at which revision. */
    record Status() implements Question {}

    /** The entries as this one sees them. */
    record Entries() implements Question {}

    /** The metrics of this entry. */
    record Metrics() implements Question {}

    /** The spans of a request. */
    record Trace(String requestId) implements Question {}

    /** The services with their budgets and ledgers. */
    record ServiceList() implements Question {}

    /** Makes a service. */
    record ServiceCreate(String name, int budget, Reserve reserve) implements Change {}

    /** Changes a service's budget or reserve. */
    record ServiceChange(
            String name, @Nullable Integer budget, @Nullable Reserve reserve) implements Change {}

    /** Ends a service. */
    record ServiceRetire(String name) implements Change {}

    /** The pools with their sizes. */
    record PoolList() implements Question {}

    /** Makes a pool; without a service it is a pool of spare instances. */
    record PoolCreate(String name, @Nullable String service, String site) implements Change {}

    /** Ends a pool that has no instances. */
    record PoolRetire(String name) implements Change {}

    /** The instances, of one pool or of all. */
    record InstanceList(@Nullable String pool) implements Question {}

    /** Why an instance is where it is, and what holds it. */
    record InstanceExplain(String id) implements Question {}

    /** Takes an instance into the fleet. */
    record InstanceAdd(String id, String pool, String hall, String rack, String address, int slots, int memoryMb)
            implements Change {}

    /** Takes an instance that serves nobody out of the fleet. */
    record InstanceRetire(String id) implements Change {}

    /**
     * What a wave is to do.
     *
     * @param name the wave's name
     * @param scope the instances it covers
     * @param toPool for a migration, the pool its instances go to
     * @param spares for a migration between sites, the pool of spare instances that come in first
     * @param order the order of work
     */
    record WaveDraft(
            String name,
            WaveScope scope,
            @Nullable String toPool,
            @Nullable String spares,
            WaveOrder order) {}

    /** What a wave would do, without doing it. */
    record WavePlan(WaveDraft draft) implements Question {}

    /** Starts a wave. */
    record WaveStart(WaveDraft draft) implements Change {}

    /** Changes whether a wave goes on. */
    record WaveSteer(String name, Steering steering) implements Change {}

    /** How a wave can be steered. */
    enum Steering {
        /** Take out no more, and put back what has not reached its reboot. */
        PAUSE(WaveState.PAUSED, "paused"),
        /** Go on. */
        RESUME(WaveState.RUNNING, "resumed"),
        /** End it for good. */
        CANCEL(WaveState.CANCELLED, "cancelled");

        private final WaveState state;
        private final String past;

        Steering(WaveState state, String past) {
            this.state = state;
            this.past = past;
        }

        /** Returns the state that a wave is in afterwards. */
        public WaveState state() {
            return state;
        }

        /** Returns what was done to the wave, for messages. */
        public String past() {
            return past;
        }
    }

    /** The waves. */
    record WaveList() implements Question {}

    /** One wave with its progress. */
    record WaveShow(String name) implements Question {}

    /** The jobs that the store knows. */
    record JobList() implements Question {}

    /** How far a job is, and why it waits. */
    record JobExplain(String id) implements Question {}

    /** The entries and the duties that each owns. */
    record JobOwners() implements Question {}

    /** The workers by service. */
    record JobWorkers() implements Question {}

    /** The platform's waves of upkeep. */
    record JobUpkeep() implements Question {}

    /** The entries of the platform's store that can not be read. */
    record JobUnreadable() implements Question {}
}
