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

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.lupinpaddle.core.placement.WorkerFacts;
import org.lupinpaddle.core.placement.WorkerIncarnation;
import org.lupinpaddle.core.run.LiveTask.Phase;

/**
 * Detects workers that have restarted under their ids. Only an answer of the worker ends the earlier incarnation
 * here; a store entry with another birth may be older or newer than that answer, and prevents new placements until
 * both agree.
 */
final class RestartTracker {

    private final ServiceState state;
    private final RunTracker runs;
    private final Advisor advisor;

    RestartTracker(ServiceState state, RunTracker runs, Advisor advisor) {
        this.state = state;
        this.runs = runs;
        this.advisor = advisor;
    }

    /** Handles the store entry of a worker. */
    void onListed(LiveWorker w, WorkerFacts f) {
        logUnreadable(w, f.startMillis(), "entry");
        boolean restarted = f.incarnation().isLaterThan(w.incarnation())
                && f.incarnation().isKnownToDifferFrom(w.facts().incarnation());
        w.update(f, state.now());
        if (restarted) {
            w.onRestartIndicated(state.now());
            // The abandoned hold may be executed after the next one.
            state.fences.supersedeAll(w.facts().id());
        }
    }

    /**
     * Returns the incarnation of a worker that answered a hold sent at {@code sentAt}; null for a late answer of an
     * incarnation that is earlier than the known one.
     */
    @Nullable
    LiveWorker onAnswer(LiveWorker w, HoldOrder order, long sentAt, HoldResponse answer) {
        logUnreadable(w, answer.bornMillis(), "answer");
        LiveWorker incarnation = resolveIncarnation(w, sentAt, answer);
        if (incarnation == null) {
            return null;
        }
        incarnation.confirmFence(order.fence());
        if (!incarnation.fenced) {
            onFirstAnswer(incarnation, incarnation != w);
        }
        return incarnation;
    }

    private void onFirstAnswer(LiveWorker w, boolean restarted) {
        long now = state.now();
        long lateStartsUntil = state.latestArrival(w);
        if (restarted
                || lateStartsUntil > now
                || w.mayFollowInheritedOrders(now)
                || state.fences.isRaised(w.facts().id())) {
            // A deadline by an earlier incarnation's clock is meaningless to this one, which may then keep a run for
            // the maximum time. An order with such a deadline may have arrived before the raised token, or from an
            // earlier owner.
            state.expectForeignDeadlines(w, lateStartsUntil);
        }
    }

    private @Nullable LiveWorker resolveIncarnation(LiveWorker w, long sentAt, HoldResponse answer) {
        WorkerIncarnation stated = new WorkerIncarnation(w.facts().id(), answer.bornMillis());
        if (!stated.isKnownToDifferFrom(w.incarnation())) {
            boolean restarted = !(stated.hasStartTime() && w.incarnation().hasStartTime())
                    && w.wasReadBefore(sentAt)
                    && w.isClockOfOtherIncarnation(answer.clockMillis(), sentAt, state.now());
            if (restarted) {
                return replaceIncarnation(w, stated, answer);
            }
            w.learnBirth(stated, state.now());
            return w;
        }
        // Host clocks may step back between two births: an incarnation that answers a hold sent to the known one is
        // not an earlier one.
        boolean isLater = stated.isLaterThan(w.incarnation()) || w.wasKnownBefore(sentAt);
        return isLater ? replaceIncarnation(w, stated, answer) : null;
    }

    private LiveWorker replaceIncarnation(LiveWorker previous, WorkerIncarnation incarnation, HoldResponse answer) {
        String firstResult = answer.ended().isEmpty()
                ? ""
                : " first-listed-end=" + answer.ended().get(0).number();
        String detail = "born=" + incarnation.startMillis() + " clock=" + answer.clockMillis() + firstResult + " tasks="
                + previous.tasks.size() + " before: " + previous.describe();
        state.note(SchedulerEvent.Kind.WORKER_RESTARTED, previous, detail);
        RecentLosses.Loss loss = RecentLosses.Loss.of(previous, state.now());
        state.losses.add(loss);
        LiveWorker w = previous.nextIncarnation(incarnation, loss, state.now());
        state.workers.put(incarnation.id(), w);
        state.fences.supersedeAll(incarnation.id());
        advisor.forget(incarnation.id());
        List.copyOf(previous.tasks).forEach(t -> transfer(t, previous, w));
        return w;
    }

    /**
     * Moves a task to the new incarnation, whose answers show whether it runs. Its start may have reached that
     * incarnation, or may still reach it, unless it was never sent.
     */
    private void transfer(LiveTask t, LiveWorker previous, LiveWorker w) {
        if (t.phase == Phase.PLACED) {
            runs.withdrawPlacement(t, "worker-restarted");
            return;
        }
        previous.remove(t);
        t.worker = w;
        w.add(t);
        if (t.phase == Phase.STARTING) {
            if (t.unansweredStarts == 0) {
                // The start is not known to have reached the earlier incarnation, so the task did not crash it.
                t.incarnation = w.incarnation();
            }
            state.stop(t, "worker-restarted");
            runs.stopOthersOfGang(t);
        }
    }

    private void logUnreadable(LiveWorker w, long bornMillis, String source) {
        if (bornMillis == WorkerIncarnation.UNREADABLE_START && !w.unreadableBirthLogged) {
            state.note(SchedulerEvent.Kind.BIRTH_UNREADABLE, w, "source=" + source);
            w.unreadableBirthLogged = true;
        }
    }
}
