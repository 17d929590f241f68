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
import org.lupinpaddle.core.run.ScriptedWorker.Task;

/** Judges by what workers executed: no run begins while another one of its task is at work, or after a noted end. */
final class RunJudge {

    private final Map<Task, Map<ScriptedWorker, String>> atWork = new HashMap<>();
    private final Set<Task> done = new HashSet<>();
    private final Set<Task> noted = new HashSet<>();
    private final Map<Task, String> begunAfterDone = new HashMap<>();
    final List<String> broken = new ArrayList<>();

    void began(ScriptedWorker w, Task t, int run) {
        Map<ScriptedWorker, String> others = atWork.computeIfAbsent(t, k -> new HashMap<>());
        String begun = t.job() + "/" + run + " on " + w;
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

    void ended(ScriptedWorker w, Task t) {
        atWork.getOrDefault(t, new HashMap<>()).remove(w);
    }

    void done(Task t) {
        done.add(t);
    }

    void acknowledged(Task t) {
        noted.add(t);
        String begun = begunAfterDone.remove(t);
        if (begun != null) {
            broken.add(begun + " began after an end done that was acknowledged later");
        }
    }
}
