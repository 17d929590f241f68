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
package org.lupinpaddle.core.wave;

/** A worker and the platform's state of it. */
final class FakeWorker {

    final String id;
    long incarnation = 1;
    boolean up = true;
    boolean leaving;
    boolean rebooting;
    boolean neverReturns;
    int running;
    private long fence;

    FakeWorker(String id) {
        this.id = id;
    }

    /**
     * Performs a maintenance step like the platform: requests for an old incarnation or with an old fence are
     * refused.
     */
    boolean maintain(WaveAction.Maintain m) {
        if (m.incarnation() != incarnation || m.fence() < fence || !up) {
            return false;
        }
        fence = m.fence();
        switch (m.step()) {
            case DRAIN -> leaving = true;
            case UNDRAIN -> leaving = false;
            case REBOOT -> {
                up = false;
                rebooting = true;
            }
        }
        return true;
    }

    void restart() {
        incarnation++;
        up = true;
        leaving = false;
        rebooting = false;
        running = 0;
    }

    WorkerStatus status(long now) {
        return new WorkerStatus(incarnation, up, leaving, running, now);
    }
}
