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

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lupinpaddle.core.run.ScriptedWorker.Task;

/** Judges by what workers executed: no run begins while another one of its task is at work, or after a noted end. */
final class RunJudge {

    private final Map<Task, Map<ScriptedWorker, String>> atWork = new HashMap<>();
    private final Set<Task> done = new HashSet<>();
    private final Set<Task> noted = new HashSet<>();
    private final Map<Task, String> begunAfterDone = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    /** Receives what workers begin and end, for the trace of a test. */
    Consumer<String> trace = s -> {};

    void began(ScriptedWorker w, Task t, int run) {
        Map<ScriptedWorker, String> others = atWork.computeIfAbsent(t, k -> new HashMap<>());
        String begun = name(t) + "/" + run + " on " + w;
        trace.accept("begun: " + begun);
        if (!others.isEmpty()) {
            broken.add(begun + " began while " + String.join(", ", others.values()) + " was at work");
        }
        if (noted.contains(t)) {
            broken.add(begun + " began after an acknowledged end done");
        } else if (done.contains(t)) {
            begunAfterDone.put(t, begun);
        }
        others.put(w, begun);
    }

    /** Returns the job, and the task if it is not the job's first. */
    private static String name(Task t) {
        boolean first = t.id().time() + t.id().step() + t.id().index() == 0;
        return first ? t.job() : t.job() + "." + t.id();
    }

    void ended(ScriptedWorker w, Task t) {
        trace.accept("ended: " + name(t) + " on " + w);
        atWork.getOrDefault(t, new HashMap<>()).remove(w);
    }

    void done(Task t) {
        done.add(t);
    }

    /** Returns whether an end done of the task has been acknowledged. */
    boolean isNoted(Task t) {
        return noted.contains(t);
    }

    /** Returns whether the task has ended done. */
    boolean isDone(Task t) {
        return done.contains(t);
    }

    void acknowledged(Task t) {
        noted.add(t);
        String begun = begunAfterDone.remove(t);
        if (begun != null) {
            broken.add(begun + " began after an end done that was acknowledged later");
        }
    }
}
