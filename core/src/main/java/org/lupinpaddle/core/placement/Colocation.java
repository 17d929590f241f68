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
package org.lupinpaddle.core.placement;

/**
 * Restricts the tasks that a task may share a worker with. A task during which a worker crashed may have caused
 * the crash; if it crashes the next worker too, it takes down the tasks beside it. Only when it runs apart from
 * other suspects can it be told from tasks that merely ran on the same worker.
 */
public enum Colocation {
    /** Any other task, though workers without suspects are preferred. */
    ANY {
        @Override
        boolean allows(Candidate c) {
            return true;
        }
    },
    /** No other suspect task. */
    NO_OTHER_SUSPECT {
        @Override
        boolean allows(Candidate c) {
            return !c.runsSuspectTask();
        }
    },
    /** No other task. */
    EXCLUSIVE {
        @Override
        boolean allows(Candidate c) {
            return c.isIdle();
        }
    };

    /** Returns whether a task with this restriction may be added to the worker. */
    abstract boolean allows(Candidate c);
}
