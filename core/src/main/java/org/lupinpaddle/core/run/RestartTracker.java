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
 * Notices workers that have restarted under their ids. Only an answer of a worker ends its earlier life here; an entry of the
 * store with another birth may be older or newer than that answer, and keeps new tasks away until both agree.
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

    /** Takes in the entry of a worker. */
    void onListed(LiveWorker w, WorkerFacts f) {
        logUnreadable(w, f.startMillis(), "entry");
        boolean restarted = f.incarnation().isLaterThan(w.incarnation())
                && f.incarnation().isKnownToDifferFrom(w.facts().incarnation());
        w.update(f, state.now());
        if (restarted) {
            // A poll that waits at the earlier life may stay without an answer until it times out.
            w.abandonPoll();
            w.holdDueAt = state.now();
            w.mustAnswerAgain();
        }
    }

    /**
     * Returns the life of a worker that has answered a poll which was sent at {@code sentAt}; null for an earlier life
     * than the known one, whose answer comes late.
     */
    @Nullable
    LiveWorker onAnswer(LiveWorker w, long sentAt, HoldAnswer answer) {
        logUnreadable(w, answer.bornMillis(), "answer");
        LiveWorker answering = lifeOf(w, sentAt, answer);
        if (answering != null && !answering.fenced) {
            onFirstAnswer(answering, answering != w, answer);
        }
        return answering;
    }

    private void onFirstAnswer(LiveWorker w, boolean restarted, HoldAnswer answer) {
        long now = state.now();
        String id = w.facts().id();
        long lateUntil = state.openStarts.lastCarriedOutBy(id, now);
        if (restarted || lateUntil > now) {
            // A deadline by an earlier life's clock means nothing to this one, which then holds on for as long as it
            // ever does.
            state.expectOtherClocks(w, lateUntil);
        }
        state.openStarts.onNewLife(id, answer.running(), now);
    }

    private @Nullable LiveWorker lifeOf(LiveWorker w, long sentAt, HoldAnswer answer) {
        WorkerIncarnation life = new WorkerIncarnation(w.facts().id(), answer.bornMillis());
        if (!life.isKnownToDifferFrom(w.incarnation())) {
            boolean restarted = !life.hasStartTime() && w.clockWentBack(answer.clockMillis(), sentAt);
            w.states(life, state.now());
            return restarted ? restarted(w, life, answer) : w;
        }
        // Clocks of hosts may step back between two births: whoever answers what was sent to the known life is no
        // earlier one.
        boolean later = life.isLaterThan(w.incarnation()) || w.isKnownBefore(sentAt);
        return later ? restarted(w, life, answer) : null;
    }

    private LiveWorker restarted(LiveWorker before, WorkerIncarnation life, HoldAnswer answer) {
        String first = answer.ended().isEmpty()
                ? ""
                : " first-listed-end=" + answer.ended().get(0).number();
        String detail = "born=" + life.startMillis() + " clock=" + answer.clockMillis() + first + " tasks="
                + before.tasks.size() + " before: " + before.describe();
        state.note(SchedulerEvent.Kind.WORKER_RESTARTED, before, detail);
        LossLog.Loss loss = LossLog.Loss.of(before, state.now());
        state.losses.add(loss);
        LiveWorker w = before.restarted(life, loss, state.now());
        state.workers.put(life.id(), w);
        advisor.forget(life.id());
        List.copyOf(before.tasks).forEach(t -> move(t, before, w));
        return w;
    }

    /**
     * Lets the new life's lists of runs tell what has become of a task. Its start may have reached that life, or may do so
     * yet, unless its choice has not gone out.
     */
    private void move(LiveTask t, LiveWorker before, LiveWorker w) {
        if (t.phase == Phase.PLACED) {
            runs.takeBack(t, "worker-restarted");
            return;
        }
        before.remove(t);
        t.worker = w;
        w.add(t);
        if (t.phase == Phase.STARTING) {
            if (t.unanswered == 0) {
                // Not known to have reached the earlier life, which has not crashed under it then.
                t.incarnation = w.incarnation();
            }
            state.stop(t, "worker-restarted");
            runs.stopOthersOfGang(t);
        }
    }

    private void logUnreadable(LiveWorker w, long bornMillis, String source) {
        if (bornMillis == WorkerIncarnation.UNREADABLE_START && !w.birthUnreadable) {
            state.note(SchedulerEvent.Kind.BIRTH_UNREADABLE, w, "source=" + source);
            w.birthUnreadable = true;
        }
    }
}
