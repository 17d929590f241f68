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
package org.lupinpaddle.core.run;

import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;

/**
 * The period for which one incarnation of a worker is cold.
 *
 * @param incarnation the incarnation whose record states the period
 * @param coldMillis the stated length, in milliseconds; 0 for a warm worker
 * @param since when this owner first saw that value, by its monotonic clock, in milliseconds
 */
record ColdPeriod(WorkerIncarnation incarnation, long coldMillis, long since) {

    /** Returns the period stated by a record that this owner sees for the first time. */
    static ColdPeriod of(WorkerFacts f, long now) {
        return new ColdPeriod(f.incarnation(), f.coldMillis(), now);
    }

    /**
     * Returns the period after the worker's record has been seen again. A record with the same value does not extend
     * the period, because records are rewritten regularly.
     */
    ColdPeriod next(WorkerFacts f, long now) {
        boolean isRestated = f.coldMillis() == coldMillis && !f.incarnation().isKnownToDifferFrom(incarnation);
        return isRestated ? new ColdPeriod(f.incarnation(), coldMillis, since) : of(f, now);
    }

    /**
     * Returns the period of a later incarnation: that of its own record if this is it, and otherwise a new one of the
     * length that the record states, until the record of the later incarnation is seen.
     */
    ColdPeriod ofIncarnation(WorkerIncarnation next, WorkerFacts f, long now) {
        boolean isOwn = next.hasStartTime() && incarnation.equals(next);
        return isOwn ? this : of(f, now);
    }

    boolean contains(long now) {
        return now - since < coldMillis;
    }
}
