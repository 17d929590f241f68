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

import org.lupinpaddle.core.placement.WorkerIncarnation;

/** Notices workers that have started again under their ids, from the births that their entries and answers state. */
final class RestartTracker {

    private final ServiceState state;

    RestartTracker(ServiceState state) {
        this.state = state;
    }

    /** Takes in the birth that a worker's entry in the store states. */
    void onListed(LiveWorker w, WorkerIncarnation life) {
        onBirth(w, life, "entry");
    }

    /** Takes in the birth that a worker's answer to a hold states. */
    void onAnswer(LiveWorker w, HoldAnswer answer) {
        WorkerIncarnation life = new WorkerIncarnation(w.facts().id(), answer.bornMillis());
        String ends = answer.ended().isEmpty()
                ? ""
                : " first-listed-end=" + answer.ended().get(0).number();
        onBirth(w, life, "answer clock=" + answer.clockMillis() + ends);
    }

    private void onBirth(LiveWorker w, WorkerIncarnation life, String source) {
        if (life.bornMillis() == WorkerIncarnation.UNREADABLE_BIRTH) {
            unreadable(w, source);
        } else if (life.differsFrom(w.incarnation())) {
            String detail = "source=" + source + " born=" + life.bornMillis() + " tasks=" + w.tasks.size() + " before: "
                    + w.tellEnds();
            state.note(SchedulerEvent.Kind.WORKER_RESTARTED, w, detail);
        }
        w.states(life);
    }

    private void unreadable(LiveWorker w, String source) {
        if (!w.birthUnreadable) {
            state.note(SchedulerEvent.Kind.BIRTH_UNREADABLE, w, "source=" + source);
        }
        w.birthUnreadable = true;
    }
}
