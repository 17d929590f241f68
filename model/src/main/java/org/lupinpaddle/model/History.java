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

import java.util.ArrayList;
import java.util.List;

/** The log of a simulated history, one line per event. */
final class History {

    private final VirtualTime time;
    private final List<String> lines = new ArrayList<>();

    History(VirtualTime time) {
        this.time = time;
    }

    void add(String what) {
        lines.add(String.format("%7d ms  %s", time.now(), what));
    }

    List<String> lines() {
        return List.copyOf(lines);
    }
}
