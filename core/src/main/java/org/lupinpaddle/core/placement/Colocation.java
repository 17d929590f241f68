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
 * Beside what a task may be put. A task under which a worker has crashed may have crashed it, and takes down what runs beside
 * it if it does so again; and only apart from others like it can it be told from those that merely stood there.
 */
public enum Colocation {
    /** Beside anything; rather not beside a suspect. */
    ANY {
        @Override
        boolean allows(Candidate c) {
            return true;
        }
    },
    /** Beside no other suspect. */
    NO_OTHER_SUSPECT {
        @Override
        boolean allows(Candidate c) {
            return !c.runsSuspectTask();
        }
    },
    /** Beside nothing at all. */
    EXCLUSIVE {
        @Override
        boolean allows(Candidate c) {
            return c.isIdle();
        }
    };

    /** Returns whether a task with this wish may join what the worker carries. */
    abstract boolean allows(Candidate c);
}
