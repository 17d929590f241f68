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
package org.lupinpaddle.model;

/**
 * The end of a run that did its task, and whether whoever places tasks has to know of it: as long as its worker keeps
 * it under a lease that has not lapsed since; and also after an order that took the worker away, if it was listed
 * before. Only with a worker that crashes may an end be lost.
 */
final class CompletedRun {

    // So long after it was listed an end counts as heard.
    private static final long DELIVERY_MILLIS = 100;

    final SimWorker worker;
    final int leaseLapsesBefore;
    private long reportedAt = World.NEVER;

    CompletedRun(SimWorker worker, int leaseLapsesBefore) {
        this.worker = worker;
        this.leaseLapsesBefore = leaseLapsesBefore;
    }

    /** Takes in that the worker tells of it. */
    void reported(long now) {
        reportedAt = Math.min(reportedAt, now);
    }

    boolean wasReportedBefore(long moment) {
        return reportedAt + DELIVERY_MILLIS <= moment;
    }

    /** Returns whether the task must not be started again. */
    boolean forbidsRestart() {
        return worker.retains(this);
    }
}
