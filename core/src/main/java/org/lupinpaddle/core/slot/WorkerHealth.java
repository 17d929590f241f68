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
package org.lupinpaddle.core.slot;

import org.lupinpaddle.core.request.AttemptOutcome;

/**
 * Tracks the success rate of a worker's recent outcomes; the weight of an outcome halves every {@link
 * #HALF_LIFE_MILLIS}. A worker that fails much more often than its peers is ejected for a time that doubles with
 * each ejection in a row, then probed with one request. The first success reinstates it.
 */
final class WorkerHealth {

    private static final double HALF_LIFE_MILLIS = 10_000;
    // With fewer outcomes than this, a healthy worker could look unhealthy by chance.
    private static final double MIN_OUTCOMES = 4;
    private static final double MAX_EJECTION_SUCCESS_RATE = 0.5;
    private static final double MIN_MARGIN_TO_PEERS = 0.3;
    private static final long FIRST_EJECTION_MILLIS = 5_000;
    private static final long MAX_EJECTION_MILLIS = 60_000;
    private static final long PAUSE_FULL_MILLIS = 50;
    private static final long PAUSE_LEAVING_MILLIS = 1_000;
    private static final long PAUSE_UNREACHABLE_MILLIS = 250;

    private double successWeight;
    private double failureWeight;
    private long decayedAt;
    private int ejections;
    private long ejectedUntil;
    private boolean probing;
    private long pausedUntil;

    /** Handles the outcome of an attempt. */
    void onOutcome(AttemptOutcome outcome, long now) {
        decay(now);
        switch (outcome) {
            case ANSWERED -> {
                successWeight++;
                if (probing) {
                    reinstate();
                }
            }
            case FAILED, BROKEN -> onFailure(now);
            case NOT_SENT -> {
                onFailure(now);
                pausedUntil = now + PAUSE_UNREACHABLE_MILLIS;
            }
            case REFUSED_FULL -> pausedUntil = now + PAUSE_FULL_MILLIS;
            case REFUSED_LEAVING -> pausedUntil = now + PAUSE_LEAVING_MILLIS;
            case UNUSED -> {}
        }
    }

    private void onFailure(long now) {
        failureWeight++;
        if (probing) {
            eject(now);
        }
    }

    private void reinstate() {
        probing = false;
        ejections = 0;
        failureWeight = 0;
    }

    /** Returns whether the worker should be ejected, given the success rate of its peers. */
    boolean isUnhealthy(double peerSuccessRate, long now) {
        decay(now);
        return !isEjectedOrProbing()
                && successWeight + failureWeight >= MIN_OUTCOMES
                && successRate() < MAX_EJECTION_SUCCESS_RATE
                && successRate() < peerSuccessRate - MIN_MARGIN_TO_PEERS;
    }

    /** Ejects the worker, for twice as long each time in a row. */
    void eject(long now) {
        long time = Math.min(MAX_EJECTION_MILLIS, FIRST_EJECTION_MILLIS << Math.min(ejections, 10));
        ejections++;
        ejectedUntil = now + time;
        probing = true;
    }

    /** Returns whether the worker is ejected or being probed. */
    boolean isEjectedOrProbing() {
        return probing;
    }

    /** Returns the number of requests that the worker may run at the same time if it has this many slots. */
    int usableSlots(int slots, long now) {
        if (now < pausedUntil || now < ejectedUntil) {
            return 0;
        }
        return probing ? 1 : slots;
    }

    /** Returns the weighted fraction of recent outcomes that succeeded, from 0 to 1; 1 if there are none. */
    double successRate() {
        return successWeight + failureWeight == 0 ? 1 : successWeight / (successWeight + failureWeight);
    }

    private void decay(long now) {
        double factor = Math.pow(0.5, (now - decayedAt) / HALF_LIFE_MILLIS);
        successWeight *= factor;
        failureWeight *= factor;
        decayedAt = now;
    }
}
