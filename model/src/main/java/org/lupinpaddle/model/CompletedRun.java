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
 * A run that completed its task. The owner must know of it while the worker holds it under a lease that has not lapsed
 * since, and also after an order stopped the worker if the worker had reported it before. Only a crash of the worker
 * may lose it.
 */
final class CompletedRun {

    // How long after a report an owner must have received it.
    private static final long DELIVERY_MILLIS = 100;

    final SimWorker worker;
    final int leaseLapsesBefore;
    private long reportedAt = World.NEVER;

    CompletedRun(SimWorker worker, int leaseLapsesBefore) {
        this.worker = worker;
        this.leaseLapsesBefore = leaseLapsesBefore;
    }

    /** Records that the worker has reported this run. */
    void reported(long now) {
        reportedAt = Math.min(reportedAt, now);
    }

    boolean wasReportedBefore(long moment) {
        return reportedAt + DELIVERY_MILLIS <= moment;
    }

    /** Returns whether the owner must know of this run, so that the task must not start again. */
    boolean forbidsRestart() {
        return worker.retains(this);
    }
}
